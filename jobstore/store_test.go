package jobstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/store"
	"github.com/figring/figring/store/fault"
	"github.com/figring/figring/store/memory"
	"github.com/figring/figring/work"
)

func testJob(id string) AcceptedJob {
	return AcceptedJob{
		Job:      work.Job{ID: work.JobID(id), Spec: "spec", Steps: []work.Step{{Count: 3}}},
		Route:    manifest.Route{Name: "r", Service: "desk", Attempts: 2},
		Accepted: time.Unix(1000, 0).UTC(),
	}
}

func progressOf(name string) Progress { return Progress{Owner: Owner{Name: name, Boot: "1"}, Write: 1} }

// fixture is a store with a running writer over a table with faults.
type fixture struct {
	t        *testing.T
	store    *Store
	writer   *Writer
	injector *fault.Injector
}

func newFixture(t *testing.T, seed uint64) *fixture {
	t.Helper()
	injector := fault.New(fault.Settings{}, seed, nil)
	tables := make([]store.Table, Partitions)
	for partition := range tables {
		tables[partition] = fault.NewTable(memory.NewTable(), injector)
	}
	f := &fixture{t: t, store: New(func(partition int) store.Table { return tables[partition] }), injector: injector}
	f.writer = NewWriter(f.store, func() time.Duration { return time.Millisecond }, func(error) {})
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	wait.Go(func() { f.writer.Run(ctx) })
	t.Cleanup(func() { cancel(); wait.Wait() })
	return f
}

// write hands a change in and waits for its result.
func (f *fixture) write(change func(done func(WriteResult)) *Change) WriteResult {
	results := make(chan WriteResult, 1)
	must.True(f.t, f.writer.Enqueue(change(func(result WriteResult) { results <- result })))
	return <-results
}

func (f *fixture) create(id, owner string) WriteResult {
	return f.write(func(done func(WriteResult)) *Change { return Create(testJob(id), progressOf(owner), done) })
}

// TestJobLifecycle covers what is stored from the acceptance to the end.
func TestJobLifecycle(t *testing.T) {
	k := newFixture(t, 1)
	created := k.create("a", "entry-1")
	must.True(t, created.Written)
	accepted, err := k.store.AcceptedJob(t.Context(), "a")
	must.NoError(t, err)
	must.Eq(t, testJob("a"), accepted)

	progress := progressOf("entry-1")
	progress.Write = 2
	progress.Done.Add(0, 2)
	progress.Failures.Set(0, 1, 1)
	saved := k.write(func(done func(WriteResult)) *Change { return SaveProgress("a", created.Version, progress, done) })
	must.True(t, saved.Written)
	state, err := k.store.Find(t.Context(), "a")
	must.NoError(t, err)
	must.Eq(t, &OpenJob{ID: "a", Progress: progress, Version: saved.Version}, state.Open)
	must.True(t, state.Open.Progress.Done.Has(0, 2))
	must.False(t, state.Open.Progress.Done.Has(0, 1))

	end := JobEnd{Outcome: Completed, By: progress.Owner, At: time.Unix(2000, 0).UTC()}
	ended := k.write(func(done func(WriteResult)) *Change { return End("a", saved.Version, end, done) })
	must.True(t, ended.Written)
	state, err = k.store.Find(t.Context(), "a")
	must.NoError(t, err)
	must.Eq(t, &end, state.End)
	_, err = k.store.AcceptedJob(t.Context(), "a")
	must.ErrorIs(t, err, store.ErrNotFound)

	must.False(t, k.create("a", "entry-2").Written)
	must.True(t, k.write(func(done func(WriteResult)) *Change { return DeleteEnd("a", done) }).Written)
	state, err = k.store.Find(t.Context(), "a")
	must.NoError(t, err)
	must.Eq(t, State{}, state)
}

// TestTakeoverHasOneWinner covers two entries that take the same job over: one of them finds
// out, and so does the former owner.
func TestTakeoverHasOneWinner(t *testing.T) {
	k := newFixture(t, 1)
	created := k.create("a", "entry-1")
	var wait sync.WaitGroup
	results := make([]WriteResult, 2)
	for i := range results {
		wait.Go(func() {
			results[i] = k.write(func(done func(WriteResult)) *Change {
				return SaveProgress("a", created.Version, progressOf(fmt.Sprintf("entry-%d", i+2)), done)
			})
		})
	}
	wait.Wait()
	must.NotEqOp(t, results[0].Written, results[1].Written)
	stale := k.write(func(done func(WriteResult)) *Change {
		return SaveProgress("a", created.Version, progressOf("entry-1"), done)
	})
	must.False(t, stale.Written)
}

// TestConflictsDoNotBlockOtherChanges covers a batch in which some jobs are known.
func TestConflictsDoNotBlockOtherChanges(t *testing.T) {
	k := newFixture(t, 1)
	const jobs = 60
	for i := 0; i < jobs; i += 3 {
		must.True(t, k.create(fmt.Sprint(i), "entry-1").Written)
	}
	var wait sync.WaitGroup
	for i := range jobs {
		wait.Go(func() {
			must.EqOp(t, i%3 != 0, k.create(fmt.Sprint(i), "entry-2").Written)
		})
	}
	wait.Wait()
}

// TestAbandonedChangeIsNotWritten covers a change that was not sent: the store
// is out, and a change before it is under way.
func TestAbandonedChangeIsNotWritten(t *testing.T) {
	k := newFixture(t, 1)
	k.injector.Set(fault.Settings{Outage: true})
	first := Create(testJob("a"), progressOf("entry-1"), func(WriteResult) {})
	must.True(t, k.writer.Enqueue(first))
	for first.phase.Load() == phaseQueued {
		time.Sleep(time.Millisecond)
	}
	must.False(t, first.Abandon())
	second := Create(testJob("a"), progressOf("entry-1"), func(WriteResult) { t.Error("an abandoned change was settled") })
	must.True(t, k.writer.Enqueue(second))
	must.True(t, second.Abandon())
	k.injector.Set(fault.Settings{})
	for {
		state, err := k.store.Find(t.Context(), "a")
		must.NoError(t, err)
		if state.Open != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestWriteOutcomesUnderFaults covers lost writes, lost replies and outages: every
// change is settled, and what is told as written is stored.
func TestWriteOutcomesUnderFaults(t *testing.T) {
	for seed := range uint64(3) {
		k := newFixture(t, seed)
		k.injector.Set(fault.Settings{ReplyLoss: 0.2, WriteLoss: 0.2})
		random := rand.New(rand.NewPCG(seed, 1))
		var wait sync.WaitGroup
		var mu sync.Mutex
		owners := make(map[string]string)
		for i := range 80 {
			id := fmt.Sprint(i)
			for _, by := range []string{"entry-1", "entry-2"} {
				wait.Go(func() {
					if k.create(id, by).Written {
						mu.Lock()
						defer mu.Unlock()
						must.EqOp(t, "", owners[id])
						owners[id] = by
					}
				})
			}
			if random.IntN(20) == 0 {
				k.injector.Set(fault.Settings{Outage: true})
				time.Sleep(5 * time.Millisecond)
				k.injector.Set(fault.Settings{ReplyLoss: 0.2, WriteLoss: 0.2})
			}
		}
		wait.Wait()
		k.injector.Set(fault.Settings{})
		open, unreadable, err := k.store.ListOpen(t.Context())
		must.NoError(t, err)
		must.EqOp(t, 0, unreadable)
		must.Len(t, 80, open)
		for _, one := range open {
			must.EqOp(t, owners[string(one.ID)], one.Progress.Owner.Name)
		}
	}
}
