package claims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/bubble"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/store/fault"
	"github.com/figring/figring/store/memory"
)

const (
	self     = model.Incarnation("e.1")
	fenceRow = "fences/e.1"
)

// countingTable counts the commits that reach the table. It can apply a commit
// after the reply to its sender.
type countingTable struct {
	store.Table
	mu      sync.Mutex
	commits int
	// delay is the time until the next commit is applied. That commit returns
	// store.ErrUnknownOutcome immediately.
	delay time.Duration
}

func (c *countingTable) Commit(ctx context.Context, txn store.Txn) ([]int64, error) {
	c.mu.Lock()
	c.commits++
	delay := c.delay
	c.delay = 0
	c.mu.Unlock()
	if delay == 0 {
		return c.Table.Commit(ctx, txn)
	}
	go func() {
		time.Sleep(delay)
		_, _ = c.Table.Commit(context.Background(), txn)
	}()
	return nil, store.ErrUnknownOutcome
}

// fixture is a writer over an in-memory table with fault injection. Reads of store
// bypass the faults.
type fixture struct {
	store    *memory.Table
	table    *countingTable
	injector *fault.Injector
	writer   *Writer
}

func newFixture(t testing.TB, opts Options) *fixture {
	f := &fixture{store: memory.NewTable()}
	f.table = &countingTable{Table: f.store}
	f.injector = fault.New(fault.Settings{}, 1, nil)
	versions, err := f.store.Commit(context.Background(), store.Txn{Writes: []store.Write{{Key: fenceRow, Value: []byte("x")}}})
	must.NoError(t, err)
	fence := store.Condition{Key: fenceRow, Version: versions[0]}
	f.writer = New(fault.NewTable(f.table, f.injector), self, func() store.Condition { return fence }, opts)
	return f
}

// deleteFence simulates another entry that takes over the session of the writer.
func (f *fixture) deleteFence(t testing.TB) {
	_, err := f.store.Commit(context.Background(), store.Txn{Writes: []store.Write{{Key: fenceRow, Delete: true}}})
	must.NoError(t, err)
}

func (f *fixture) stored(t testing.TB) []Stored {
	found, err := Load(context.Background(), f.store, []model.Incarnation{self}, time.Time{}, everyPartition)
	must.NoError(t, err)
	return found
}

func everyPartition(int) bool { return true }

// testClaim returns the claim number n, which is the same in every run.
func testClaim(n int) Claim {
	id := uuid.UUID{6: 0x70, 8: 0x80, 14: byte(n >> 8), 15: byte(n)}
	return Claim{Key: model.JobKey{Caller: "desk", ID: id}, Digest: uint64(n) * 0x9E3779B97F4A7C15, Tasks: 50, ClaimedUnixMs: 1_700_000_000_000}
}

// appendMany appends n claims concurrently and returns the error of each.
func (f *fixture) appendMany(n int) []error {
	errs := make([]error, n)
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() { errs[i] = f.writer.Append(context.Background(), testClaim(i)) })
	}
	wait.Wait()
	return errs
}

// TestAppendBatches appends one claim and, while its write is in flight, more
// claims. It checks the number of commits and the time that they take.
func TestAppendBatches(t *testing.T) {
	cases := []struct {
		name       string
		opts       Options
		concurrent int
		commits    int
		elapsed    time.Duration
	}{
		{"one in flight", Options{}, 100, 2, 200 * time.Millisecond},
		{"two in flight", Options{MaxInFlight: 2}, 1, 2, 100 * time.Millisecond},
		{"small batches", Options{MaxBatchClaims: 50}, 100, 3, 300 * time.Millisecond},
		{"row per claim", Options{Mode: RowPerClaim, MaxInFlight: 100}, 100, 101, 200 * time.Millisecond},
		{"write budget", Options{MinInterval: func() time.Duration { return time.Second }}, 100, 2, 1100 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := newFixture(t, c.opts)
				f.injector.Set(fault.Settings{BeforeMillis: 100})
				start := time.Now()
				go func() { _ = f.writer.Append(context.Background(), testClaim(1000)) }()
				synctest.Wait()
				for _, err := range f.appendMany(c.concurrent) {
					must.NoError(t, err)
				}
				must.NoError(t, f.writer.Flush(t.Context()))
				must.Eq(t, c.elapsed, time.Since(start))
				must.Eq(t, c.commits, f.table.commits)
				must.Len(t, c.concurrent+1, f.stored(t))
			})
		})
	}
}

// TestAppendFaults checks for each fault of the table that the error of Append
// matches what is stored, and that a repeated write does not write the row twice.
func TestAppendFaults(t *testing.T) {
	cases := []struct {
		name      string
		faults    fault.Settings
		faultsFor time.Duration // time until the faults end
		fenced    bool          // whether the session is taken over before the write
		delay     time.Duration
		want      error
		rows      int
	}{
		{name: "outage", faults: fault.Settings{Outage: true}, faultsFor: time.Minute, want: ErrNotClaimed},
		{name: "reply lost", faults: fault.Settings{ReplyLoss: 1}, faultsFor: time.Second, rows: 1},
		{name: "write lost", faults: fault.Settings{WriteLoss: 1}, faultsFor: time.Second, rows: 1},
		{name: "write hangs", faults: fault.Settings{Hang: true}, faultsFor: 7 * time.Second, rows: 1},
		{name: "write arrives late", delay: 150 * time.Millisecond, rows: 1},
		{name: "never answers", faults: fault.Settings{Hang: true}, faultsFor: time.Minute, want: ErrClaimUnknown},
		{name: "fenced", fenced: true, want: ErrFenced},
		{name: "fenced, write lost", fenced: true, faults: fault.Settings{WriteLoss: 1}, faultsFor: time.Second, want: ErrFenced},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := newFixture(t, Options{})
				defer f.writer.Close()
				if c.fenced {
					f.deleteFence(t)
				}
				f.table.delay = c.delay
				f.injector.Set(c.faults)
				time.AfterFunc(c.faultsFor, func() { f.injector.Set(fault.Settings{}) })
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				err := f.writer.Append(ctx, testClaim(1))
				must.ErrorIs(t, err, c.want)
				time.Sleep(time.Second)
				must.Len(t, c.rows, f.stored(t))
				page, err := f.store.List(t.Context(), Prefix, Prefix, 2)
				must.NoError(t, err)
				for _, row := range page.Rows {
					must.Eq(t, 2, row.Version, must.Sprint("the row was written more than once"))
				}
			})
		})
	}
}

// TestAbsentRowDoesNotProveNotClaimed guards against reporting a claim as not
// written because its row is absent: a delayed request writes the row 5 seconds
// after the table has reported an unknown outcome.
func TestAbsentRowDoesNotProveNotClaimed(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(t, Options{})
		f.table.delay = 5 * time.Second
		err := f.writer.Append(t.Context(), testClaim(1))
		time.Sleep(10 * time.Second)
		must.Eq(t, err == nil, len(f.stored(t)) == 1)
	})
}

// TestAppendContextEnds ends the context of Append before and during the write of
// its claim.
func TestAppendContextEnds(t *testing.T) {
	t.Run("before the write: not claimed", func(t *testing.T) {
		bubble.Test(t, func(t *testing.T) {
			f := newFixture(t, Options{})
			f.injector.Set(fault.Settings{BeforeMillis: 1000})
			go func() { _ = f.writer.Append(context.Background(), testClaim(1)) }()
			synctest.Wait()
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			must.ErrorIs(t, f.writer.Append(ctx, testClaim(2)), ErrNotClaimed)
			must.NoError(t, f.writer.Flush(t.Context()))
			must.Len(t, 1, f.stored(t))
		})
	})
	t.Run("during the write: resolved later", func(t *testing.T) {
		bubble.Test(t, func(t *testing.T) {
			var reported []Claim
			f := newFixture(t, Options{OnResolved: func(claims []Claim, err error) {
				must.NoError(t, err)
				reported = append(reported, claims...)
			}})
			f.injector.Set(fault.Settings{ReplyLoss: 1, AfterMillis: 500})
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			must.ErrorIs(t, f.writer.Append(ctx, testClaim(2)), ErrClaimUnknown)
			f.injector.Set(fault.Settings{})
			must.NoError(t, f.writer.Flush(t.Context()))
			must.Eq(t, []Claim{testClaim(2)}, reported)
		})
	})
}

// TestFlushUnderLoad guards against a Flush that also waits for claims appended
// after the call: under constant load the release of a partition would not end.
func TestFlushUnderLoad(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(t, Options{})
		f.injector.Set(fault.Settings{BeforeMillis: 100})
		stop := time.Now().Add(time.Minute)
		for i := range 4 {
			go func() {
				for time.Now().Before(stop) {
					_ = f.writer.Append(context.Background(), testClaim(i))
				}
			}()
		}
		time.Sleep(time.Second)
		start := time.Now()
		must.NoError(t, f.writer.Flush(t.Context()))
		must.LessEq(t, 200*time.Millisecond, time.Since(start))
		time.Sleep(2 * time.Minute)
	})
}

// TestTooManyUnresolved checks that Append fails immediately, not at its deadline,
// while too many writes have an unknown outcome, and works again afterwards.
func TestTooManyUnresolved(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(t, Options{MaxUnresolved: 1})
		f.injector.Set(fault.Settings{WriteLoss: 1})
		go func() { _ = f.writer.Append(context.Background(), testClaim(1)) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := f.writer.Append(ctx, testClaim(2))
		must.ErrorIs(t, err, ErrNotClaimed)
		must.False(t, errors.Is(err, context.DeadlineExceeded))
		f.injector.Set(fault.Settings{})
		must.NoError(t, f.writer.Flush(t.Context()))
		must.NoError(t, f.writer.Append(t.Context(), testClaim(2)))
	})
}

// TestLoadAndSweep covers Load and Sweep over several pages of rows with a time bound,
// and Load for one partition and during an outage.
func TestLoadAndSweep(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(t, Options{Mode: RowPerClaim})
		var midpoint time.Time
		for i := range 1200 {
			if i == 700 {
				midpoint = time.Now()
			}
			must.NoError(t, f.writer.Append(t.Context(), testClaim(i)))
			time.Sleep(time.Millisecond)
		}
		must.Len(t, 1200, f.stored(t))
		newer, err := Load(t.Context(), f.store, []model.Incarnation{"e.0", self}, midpoint, everyPartition)
		must.NoError(t, err)
		must.Len(t, 500, newer)
		must.Eq(t, Stored{Claim: testClaim(700), Claimer: self}, newer[0])

		wanted := testClaim(3).Key.Partition()
		some, err := Load(t.Context(), f.store, []model.Incarnation{self}, time.Time{}, func(p int) bool { return p == wanted })
		must.NoError(t, err)
		must.Between(t, 1, len(some), 100)

		deleted, err := Sweep(t.Context(), f.store, self, midpoint)
		must.NoError(t, err)
		must.Eq(t, 700, deleted)
		must.Len(t, 500, f.stored(t))
		claimers, err := Claimers(t.Context(), f.store)
		must.NoError(t, err)
		must.Eq(t, []model.Incarnation{self}, claimers)

		f.injector.Set(fault.Settings{Outage: true})
		_, err = Load(t.Context(), f.writer.table, []model.Incarnation{self}, midpoint, everyPartition)
		must.True(t, errors.Is(err, ErrRead))
	})
}

// BenchmarkStateBytesPerClaim reports the stored bytes per claim by batch size.
func BenchmarkStateBytesPerClaim(b *testing.B) {
	for _, size := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			claims := make([]Claim, 0, size)
			for i := range size {
				claims = append(claims, testClaim(i))
			}
			var value []byte
			for b.Loop() {
				value, _ = encode(uuid.Nil.String(), claims)
			}
			key := rowKey(model.Incarnation("entry-01."+uuid.Nil.String()), time.UnixMilli(1_700_000_000_000), 1)
			b.ReportMetric(float64(len(key)+len(value))/float64(size), "stateB/claim")
		})
	}
}
