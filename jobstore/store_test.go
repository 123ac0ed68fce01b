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

// testJob returns an accepted job with three tasks.
func testJob(id string) AcceptedJob {
	return AcceptedJob{
		Job:      work.Job{ID: work.JobID(id), Spec: "spec", Steps: []work.Step{{Count: 3}}},
		Route:    manifest.Route{Name: "r", Service: "desk", Attempts: 2},
		Accepted: time.Unix(1000, 0).UTC(),
	}
}

// progressOf returns the first progress that an owner writes.
func progressOf(owner string) Progress {
	return Progress{Owner: Owner{Name: owner, Boot: "1"}, Write: 1}
}

// fixture is a store with a running writer over in-memory tables with fault
// injection.
type fixture struct {
	t        *testing.T
	store    *Store
	writer   *Writer
	injector *fault.Injector
}

func newFixture(t *testing.T, seed uint64) *fixture {
	t.Helper()
	return newFixtureOver(t, seed, func(table store.Table) store.Table { return table })
}

// newFixtureOver is newFixture over tables that wrap returns for the tables in memory.
func newFixtureOver(t *testing.T, seed uint64, wrap func(store.Table) store.Table) *fixture {
	t.Helper()
	injector := fault.New(fault.Settings{}, seed, nil)
	tables := make([]store.Table, Partitions)
	for partition := range tables {
		tables[partition] = wrap(fault.NewTable(memory.NewTable(), injector))
	}
	f := &fixture{t: t, store: New(func(partition int) store.Table { return tables[partition] }), injector: injector}
	f.writer = NewWriter(f.store, func() time.Duration { return time.Millisecond }, func(error) {})
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	wait.Go(func() { f.writer.Run(ctx) })
	t.Cleanup(func() { cancel(); wait.Wait() })
	return f
}

// write queues a change and waits for its result.
func (f *fixture) write(change func(done func(WriteResult)) *Change) WriteResult {
	results := make(chan WriteResult, 1)
	must.True(f.t, f.writer.Enqueue(change(func(result WriteResult) { results <- result })))
	return <-results
}

// create stores a new job as the owner and returns the result.
func (f *fixture) create(id, owner string) WriteResult {
	return f.createJob(testJob(id), owner)
}

// createJob is create for a job of any form that can be stored.
func (f *fixture) createJob(job AcceptedJob, owner string) WriteResult {
	f.t.Helper()
	return f.write(func(done func(WriteResult)) *Change { return newChange(f.t, job, owner, done) })
}

func newChange(t *testing.T, job AcceptedJob, owner string, done func(WriteResult)) *Change {
	t.Helper()
	change, err := Create(job, progressOf(owner), testLimits, done)
	must.NoError(t, err)
	return change
}

// TestJobLifecycle checks the stored rows of a job from its acceptance until its
// end is deleted.
func TestJobLifecycle(t *testing.T) {
	f := newFixture(t, 1)
	created := f.create("a", "entry-1")
	must.True(t, created.Written)
	accepted, err := f.store.AcceptedJob(t.Context(), "a")
	must.NoError(t, err)
	must.Eq(t, testJob("a"), accepted)

	progress := progressOf("entry-1")
	progress.Write = 2
	progress.Done.Add(0, 2)
	progress.Failures.Set(0, 1, 1)
	saved := f.write(func(done func(WriteResult)) *Change { return SaveProgress("a", created.Version, progress, done) })
	must.True(t, saved.Written)
	state, err := f.store.Find(t.Context(), "a")
	must.NoError(t, err)
	must.Eq(t, &OpenJob{ID: "a", Progress: progress, Version: saved.Version}, state.Open)
	must.True(t, state.Open.Progress.Done.Has(0, 2))
	must.False(t, state.Open.Progress.Done.Has(0, 1))

	end := JobEnd{Outcome: Completed, By: progress.Owner, At: time.Unix(2000, 0).UTC()}
	ended := f.write(func(done func(WriteResult)) *Change { return End("a", saved.Version, 0, end, done) })
	must.True(t, ended.Written)
	state, err = f.store.Find(t.Context(), "a")
	must.NoError(t, err)
	must.Eq(t, &end, state.End)
	_, err = f.store.AcceptedJob(t.Context(), "a")
	must.ErrorIs(t, err, store.ErrNotFound)

	must.False(t, f.create("a", "entry-2").Written)
	must.True(t, f.write(func(done func(WriteResult)) *Change { return DeleteEnd("a", done) }).Written)
	state, err = f.store.Find(t.Context(), "a")
	must.NoError(t, err)
	must.Eq(t, State{}, state)
}

// TestTakeoverHasOneWinner covers two entries that take over the same job
// concurrently: the write of one of them fails, and so does the next write of the
// former owner.
func TestTakeoverHasOneWinner(t *testing.T) {
	f := newFixture(t, 1)
	created := f.create("a", "entry-1")
	var wait sync.WaitGroup
	results := make([]WriteResult, 2)
	for i := range results {
		wait.Go(func() {
			results[i] = f.write(func(done func(WriteResult)) *Change {
				return SaveProgress("a", created.Version, progressOf(fmt.Sprintf("entry-%d", i+2)), done)
			})
		})
	}
	wait.Wait()
	must.NotEqOp(t, results[0].Written, results[1].Written)
	stale := f.write(func(done func(WriteResult)) *Change {
		return SaveProgress("a", created.Version, progressOf("entry-1"), done)
	})
	must.False(t, stale.Written)
}

// TestConflictsDoNotBlockOtherChanges creates jobs concurrently, a third of which
// are already stored: the conflicts of those must not fail the others.
func TestConflictsDoNotBlockOtherChanges(t *testing.T) {
	f := newFixture(t, 1)
	const jobs = 60
	for i := 0; i < jobs; i += 3 {
		must.True(t, f.create(fmt.Sprint(i), "entry-1").Written)
	}
	var wait sync.WaitGroup
	for i := range jobs {
		wait.Go(func() {
			must.EqOp(t, i%3 != 0, f.create(fmt.Sprint(i), "entry-2").Written)
		})
	}
	wait.Wait()
}

// TestAbandonedChangeIsNotWritten abandons a queued change during an outage of the
// store, while a change before it is being written and can't be abandoned.
func TestAbandonedChangeIsNotWritten(t *testing.T) {
	f := newFixture(t, 1)
	f.injector.Set(fault.Settings{Outage: true})
	first := newChange(t, testJob("a"), "entry-1", func(WriteResult) {})
	must.True(t, f.writer.Enqueue(first))
	for first.phase.Load() == phaseQueued {
		time.Sleep(time.Millisecond)
	}
	must.False(t, first.Abandon())
	second := newChange(t, testJob("a"), "entry-1", func(WriteResult) { t.Error("done was called for an abandoned change") })
	must.True(t, f.writer.Enqueue(second))
	must.True(t, second.Abandon())
	f.injector.Set(fault.Settings{})
	for {
		state, err := f.store.Find(t.Context(), "a")
		must.NoError(t, err)
		if state.Open != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestWriteOutcomesUnderFaults injects lost writes, lost replies and outages: every
// change gets a result, exactly one of two creations of a job is reported as
// written, and that one is stored.
func TestWriteOutcomesUnderFaults(t *testing.T) {
	for seed := range uint64(3) {
		f := newFixture(t, seed)
		f.injector.Set(fault.Settings{ReplyLoss: 0.2, WriteLoss: 0.2})
		random := rand.New(rand.NewPCG(seed, 1))
		var wait sync.WaitGroup
		var mu sync.Mutex
		owners := make(map[string]string)
		for i := range 80 {
			id := fmt.Sprint(i)
			for _, owner := range []string{"entry-1", "entry-2"} {
				wait.Go(func() {
					if f.create(id, owner).Written {
						mu.Lock()
						defer mu.Unlock()
						must.EqOp(t, "", owners[id])
						owners[id] = owner
					}
				})
			}
			if random.IntN(20) == 0 {
				f.injector.Set(fault.Settings{Outage: true})
				time.Sleep(5 * time.Millisecond)
				f.injector.Set(fault.Settings{ReplyLoss: 0.2, WriteLoss: 0.2})
			}
		}
		wait.Wait()
		f.injector.Set(fault.Settings{})
		var jobs []OpenJob
		unreadable, err := f.store.EachOpen(t.Context(), func(job *OpenJob, _ int) { jobs = append(jobs, *job) })
		must.NoError(t, err)
		must.EqOp(t, 0, unreadable)
		must.Len(t, 80, jobs)
		for _, job := range jobs {
			must.EqOp(t, owners[string(job.ID)], job.Progress.Owner.Name)
		}
	}
}
