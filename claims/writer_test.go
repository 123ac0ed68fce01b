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

// counter counts the commits that reach the table and may delay some of them
// beyond the answer to their sender.
type counter struct {
	store.Table
	mu      sync.Mutex
	commits int
	// late is the delay of the next commit, which answers at once that its
	// outcome is unknown.
	late time.Duration
}

func (c *counter) Commit(ctx context.Context, txn store.Txn) ([]int64, error) {
	c.mu.Lock()
	c.commits++
	late := c.late
	c.late = 0
	c.mu.Unlock()
	if late == 0 {
		return c.Table.Commit(ctx, txn)
	}
	go func() {
		time.Sleep(late)
		_, _ = c.Table.Commit(context.Background(), txn)
	}()
	return nil, store.ErrUnknownOutcome
}

type bench struct {
	store    *memory.Table
	counter  *counter
	injector *fault.Injector
	writer   *Writer
}

func newBench(t testing.TB, opts Options) *bench {
	b := &bench{store: memory.NewTable()}
	b.counter = &counter{Table: b.store}
	b.injector = fault.New(fault.Settings{}, 1, nil)
	versions, err := b.store.Commit(context.Background(), store.Txn{Writes: []store.Write{{Key: fenceRow, Value: []byte("x")}}})
	must.NoError(t, err)
	fence := store.Condition{Key: fenceRow, Version: versions[0]}
	b.writer = New(fault.NewTable(b.counter, b.injector), self, func() store.Condition { return fence }, opts)
	return b
}

func (b *bench) takeOver(t testing.TB) {
	_, err := b.store.Commit(context.Background(), store.Txn{Writes: []store.Write{{Key: fenceRow, Delete: true}}})
	must.NoError(t, err)
}

func (b *bench) stored(t testing.TB) []Stored {
	found, err := Load(context.Background(), b.store, []model.Incarnation{self}, time.Time{}, all)
	must.NoError(t, err)
	return found
}

func all(int) bool { return true }

// claimOf returns a claim that is the same in every run.
func claimOf(n int) Claim {
	id := uuid.UUID{6: 0x70, 8: 0x80, 14: byte(n >> 8), 15: byte(n)}
	return Claim{Key: model.JobKey{Caller: "desk", ID: id}, Digest: uint64(n) * 0x9E3779B97F4A7C15, Tasks: 50, ClaimedUnixMs: 1_700_000_000_000}
}

func (b *bench) appendMany(n int) []error {
	errs := make([]error, n)
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() { errs[i] = b.writer.Append(context.Background(), claimOf(i)) })
	}
	wait.Wait()
	return errs
}

func TestAppendGroups(t *testing.T) {
	cases := []struct {
		name    string
		opts    Options
		more    int
		commits int
		took    time.Duration
	}{
		{"one in flight", Options{}, 100, 2, 200 * time.Millisecond},
		{"two in flight", Options{MaxInFlight: 2}, 1, 2, 100 * time.Millisecond},
		{"small groups", Options{MaxBatchClaims: 50}, 100, 3, 300 * time.Millisecond},
		{"row per claim", Options{Mode: RowPerClaim, MaxInFlight: 100}, 100, 101, 200 * time.Millisecond},
		{"write budget", Options{MinInterval: func() time.Duration { return time.Second }}, 100, 2, 1100 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				b := newBench(t, c.opts)
				b.injector.Set(fault.Settings{BeforeMillis: 100})
				start := time.Now()
				go func() { _ = b.writer.Append(context.Background(), claimOf(1000)) }()
				synctest.Wait()
				for _, err := range b.appendMany(c.more) {
					must.NoError(t, err)
				}
				must.NoError(t, b.writer.Flush(t.Context()))
				must.Eq(t, c.took, time.Since(start))
				must.Eq(t, c.commits, b.counter.commits)
				must.Len(t, c.more+1, b.stored(t))
			})
		})
	}
}

func TestAppendFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults fault.Settings
		mend   time.Duration // time until the faults end
		taken  bool          // whether the session is taken over before
		late   time.Duration
		want   error
		rows   int
	}{
		{name: "outage", faults: fault.Settings{Outage: true}, mend: time.Minute, want: ErrNotClaimed},
		{name: "reply lost", faults: fault.Settings{ReplyLoss: 1}, mend: time.Second, rows: 1},
		{name: "write lost", faults: fault.Settings{WriteLoss: 1}, mend: time.Second, rows: 1},
		{name: "write hangs", faults: fault.Settings{Hang: true}, mend: 7 * time.Second, rows: 1},
		{name: "write arrives late", late: 150 * time.Millisecond, rows: 1},
		{name: "never answers", faults: fault.Settings{Hang: true}, mend: time.Minute, want: ErrClaimUnknown},
		{name: "fenced", taken: true, want: ErrFenced},
		{name: "fenced, write lost", taken: true, faults: fault.Settings{WriteLoss: 1}, mend: time.Second, want: ErrFenced},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				b := newBench(t, Options{})
				defer b.writer.Close()
				if c.taken {
					b.takeOver(t)
				}
				b.counter.late = c.late
				b.injector.Set(c.faults)
				time.AfterFunc(c.mend, func() { b.injector.Set(fault.Settings{}) })
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				err := b.writer.Append(ctx, claimOf(1))
				must.ErrorIs(t, err, c.want)
				time.Sleep(time.Second)
				must.Len(t, c.rows, b.stored(t))
				page, err := b.store.List(t.Context(), Prefix, Prefix, 2)
				must.NoError(t, err)
				for _, row := range page.Rows {
					must.Eq(t, 2, row.Version, must.Sprint("the row was written again"))
				}
			})
		})
	}
}

// TestAbsentRowIsNoProof delays a write beyond a read of its absent row: the
// claim must not be denied and then appear.
func TestAbsentRowIsNoProof(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newBench(t, Options{})
		b.counter.late = 5 * time.Second
		err := b.writer.Append(t.Context(), claimOf(1))
		time.Sleep(10 * time.Second)
		must.Eq(t, err == nil, len(b.stored(t)) == 1)
	})
}

func TestAbandoned(t *testing.T) {
	t.Run("before its write: proved not claimed", func(t *testing.T) {
		bubble.Test(t, func(t *testing.T) {
			b := newBench(t, Options{})
			b.injector.Set(fault.Settings{BeforeMillis: 1000})
			go func() { _ = b.writer.Append(context.Background(), claimOf(1)) }()
			synctest.Wait()
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			must.ErrorIs(t, b.writer.Append(ctx, claimOf(2)), ErrNotClaimed)
			must.NoError(t, b.writer.Flush(t.Context()))
			must.Len(t, 1, b.stored(t))
		})
	})
	t.Run("during its write: reported later", func(t *testing.T) {
		bubble.Test(t, func(t *testing.T) {
			var reported []Claim
			b := newBench(t, Options{OnResolved: func(claims []Claim, err error) {
				must.NoError(t, err)
				reported = append(reported, claims...)
			}})
			b.injector.Set(fault.Settings{ReplyLoss: 1, AfterMillis: 500})
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			must.ErrorIs(t, b.writer.Append(ctx, claimOf(2)), ErrClaimUnknown)
			b.injector.Set(fault.Settings{})
			must.NoError(t, b.writer.Flush(t.Context()))
			must.Eq(t, []Claim{claimOf(2)}, reported)
		})
	})
}

// TestSettleUnderLoad shows that a giver of a partition does not wait for
// claims that others go on appending.
func TestSettleUnderLoad(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newBench(t, Options{})
		b.injector.Set(fault.Settings{BeforeMillis: 100})
		stop := time.Now().Add(time.Minute)
		for i := range 4 {
			go func() {
				for time.Now().Before(stop) {
					_ = b.writer.Append(context.Background(), claimOf(i))
				}
			}()
		}
		time.Sleep(time.Second)
		start := time.Now()
		must.NoError(t, b.writer.Flush(t.Context()))
		must.LessEq(t, 200*time.Millisecond, time.Since(start))
		time.Sleep(2 * time.Minute)
	})
}

func TestTooManyUnresolved(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newBench(t, Options{MaxUnresolved: 1})
		b.injector.Set(fault.Settings{WriteLoss: 1})
		go func() { _ = b.writer.Append(context.Background(), claimOf(1)) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := b.writer.Append(ctx, claimOf(2))
		must.ErrorIs(t, err, ErrNotClaimed)
		must.False(t, errors.Is(err, context.DeadlineExceeded))
		b.injector.Set(fault.Settings{})
		must.NoError(t, b.writer.Flush(t.Context()))
		must.NoError(t, b.writer.Append(t.Context(), claimOf(2)))
	})
}

func TestLoadAndSweep(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newBench(t, Options{Mode: RowPerClaim})
		var middle time.Time
		for i := range 1200 {
			if i == 700 {
				middle = time.Now()
			}
			must.NoError(t, b.writer.Append(t.Context(), claimOf(i)))
			time.Sleep(time.Millisecond)
		}
		must.Len(t, 1200, b.stored(t))
		newer, err := Load(t.Context(), b.store, []model.Incarnation{"e.0", self}, middle, all)
		must.NoError(t, err)
		must.Len(t, 500, newer)
		must.Eq(t, Stored{Claim: claimOf(700), Claimer: self}, newer[0])

		wanted := claimOf(3).Key.Partition()
		some, err := Load(t.Context(), b.store, []model.Incarnation{self}, time.Time{}, func(p int) bool { return p == wanted })
		must.NoError(t, err)
		must.Between(t, 1, len(some), 100)

		deleted, err := Sweep(t.Context(), b.store, self, middle)
		must.NoError(t, err)
		must.Eq(t, 700, deleted)
		must.Len(t, 500, b.stored(t))
		names, err := Claimers(t.Context(), b.store)
		must.NoError(t, err)
		must.Eq(t, []model.Incarnation{self}, names)

		b.injector.Set(fault.Settings{Outage: true})
		_, err = Load(t.Context(), b.writer.table, []model.Incarnation{self}, middle, all)
		must.True(t, errors.Is(err, ErrRead))
	})
}

func BenchmarkStateBytesPerClaim(b *testing.B) {
	for _, size := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			group := make([]Claim, 0, size)
			for i := range size {
				group = append(group, claimOf(i))
			}
			var value []byte
			for b.Loop() {
				value, _ = encode(uuid.Nil.String(), group)
			}
			key := rowKey(model.Incarnation("entry-01."+uuid.Nil.String()), time.UnixMilli(1_700_000_000_000), 1)
			b.ReportMetric(float64(len(key)+len(value))/float64(size), "stateB/claim")
		})
	}
}
