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

func record(id string) AcceptedJob {
	return AcceptedJob{
		Job:      work.Job{ID: work.JobID(id), Spec: "spec", Steps: []work.Step{{Count: 3}}},
		Route:    manifest.Route{Name: "r", Service: "desk", Attempts: 2},
		Accepted: time.Unix(1000, 0).UTC(),
	}
}

func owner(name string) Progress { return Progress{Owner: Owner{Name: name, Boot: "1"}, Write: 1} }

// keeper is a store with a running writer over a table with faults.
type keeper struct {
	t        *testing.T
	store    *Store
	writer   *Writer
	injector *fault.Injector
}

func newKeeper(t *testing.T, seed uint64) *keeper {
	t.Helper()
	injector := fault.New(fault.Settings{}, seed, nil)
	tables := make([]store.Table, Partitions)
	for number := range tables {
		tables[number] = fault.NewTable(memory.NewTable(), injector)
	}
	k := &keeper{t: t, store: New(func(partition int) store.Table { return tables[partition] }), injector: injector}
	k.writer = NewWriter(k.store, func() time.Duration { return time.Millisecond }, func(error) {})
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	wait.Go(func() { k.writer.Run(ctx) })
	t.Cleanup(func() { cancel(); wait.Wait() })
	return k
}

// put hands a change in and waits for its result.
func (k *keeper) put(change func(done func(WriteResult)) *Change) WriteResult {
	results := make(chan WriteResult, 1)
	must.True(k.t, k.writer.Enqueue(change(func(result WriteResult) { results <- result })))
	return <-results
}

func (k *keeper) create(id, by string) WriteResult {
	return k.put(func(done func(WriteResult)) *Change { return Create(record(id), owner(by), done) })
}

// TestLifeOfAJob covers what is stored from the acceptance to the end.
func TestLifeOfAJob(t *testing.T) {
	k := newKeeper(t, 1)
	created := k.create("a", "entry-1")
	must.True(t, created.Written)
	kept, err := k.store.AcceptedJob(t.Context(), "a")
	must.NoError(t, err)
	must.Eq(t, record("a"), kept)

	progress := owner("entry-1")
	progress.Write = 2
	progress.Done.Add(0, 2)
	progress.Failures.Set(0, 1, 1)
	saved := k.put(func(done func(WriteResult)) *Change { return SaveProgress("a", created.Version, progress, done) })
	must.True(t, saved.Written)
	state, err := k.store.Find(t.Context(), "a")
	must.NoError(t, err)
	must.Eq(t, &OpenJob{ID: "a", Progress: progress, Version: saved.Version}, state.Open)
	must.True(t, state.Open.Progress.Done.Has(0, 2))
	must.False(t, state.Open.Progress.Done.Has(0, 1))

	ending := JobEnd{Outcome: Completed, By: progress.Owner, At: time.Unix(2000, 0).UTC()}
	ended := k.put(func(done func(WriteResult)) *Change { return End("a", saved.Version, ending, done) })
	must.True(t, ended.Written)
	state, err = k.store.Find(t.Context(), "a")
	must.NoError(t, err)
	must.Eq(t, &ending, state.End)
	_, err = k.store.AcceptedJob(t.Context(), "a")
	must.ErrorIs(t, err, store.ErrNotFound)

	must.False(t, k.create("a", "entry-2").Written)
	must.True(t, k.put(func(done func(WriteResult)) *Change { return DeleteEnd("a", done) }).Written)
	state, err = k.store.Find(t.Context(), "a")
	must.NoError(t, err)
	must.Eq(t, State{}, state)
}

// TestOneOwner covers two entries that take the same job over: one of them finds
// out, and so does the former owner.
func TestOneOwner(t *testing.T) {
	k := newKeeper(t, 1)
	created := k.create("a", "entry-1")
	var wait sync.WaitGroup
	results := make([]WriteResult, 2)
	for i := range results {
		wait.Go(func() {
			results[i] = k.put(func(done func(WriteResult)) *Change {
				return SaveProgress("a", created.Version, owner(fmt.Sprintf("entry-%d", i+2)), done)
			})
		})
	}
	wait.Wait()
	must.NotEqOp(t, results[0].Written, results[1].Written)
	late := k.put(func(done func(WriteResult)) *Change { return SaveProgress("a", created.Version, owner("entry-1"), done) })
	must.False(t, late.Written)
}

// TestConflictsDoNotHoldOthersUp covers a batch in which some jobs are known.
func TestConflictsDoNotHoldOthersUp(t *testing.T) {
	k := newKeeper(t, 1)
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
	k := newKeeper(t, 1)
	k.injector.Set(fault.Settings{Outage: true})
	first := Create(record("a"), owner("entry-1"), func(WriteResult) {})
	must.True(t, k.writer.Enqueue(first))
	for first.phase.Load() == waiting {
		time.Sleep(time.Millisecond)
	}
	must.False(t, first.Abandon())
	second := Create(record("a"), owner("entry-1"), func(WriteResult) { t.Error("an abandoned change was settled") })
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

// TestEveryOutcomeIsFoundOut covers lost writes, lost replies and outages: every
// change is settled, and what is told as written is stored.
func TestEveryOutcomeIsFoundOut(t *testing.T) {
	for seed := range uint64(3) {
		k := newKeeper(t, seed)
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
