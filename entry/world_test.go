package entry

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"

	"github.com/figring/figring/answers"
	"github.com/figring/figring/claims"
	"github.com/figring/figring/common/bubble"
	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/decision/routing"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/store/memory"
	"github.com/figring/figring/wire"
)

const (
	testCaller = "nomination-desk"
	testSelf   = model.Incarnation("entry-1.a")
	testOther  = model.Incarnation("entry-2.b")
	testZone   = "schwabing"
	testSlots  = 2
	testFence  = "test-fence"
	// longLease outlasts every test that does not end the lease itself.
	longLease = time.Hour
)

// world is an owner among fakes, in the bubble of one test. The loop runs;
// synctest.Wait lets it take in everything that it was told.
type world struct {
	t       *testing.T
	ctx     context.Context
	members *fakeMembers
	table   *fakeTable
	objects *memory.Objects
	pool    *fakePool
	scope   tally.TestScope
	owner   *Owner
	// closed is set while nothing may be started.
	closed atomic.Bool
	keys   uint32
	load   uint64
}

// inWorld runs a test in a bubble with an owner that serves every partition.
func inWorld(t *testing.T, test func(w *world)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		w := newWorld(t)
		test(w)
	})
}

func newWorld(t *testing.T) *world {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		t:       t,
		ctx:     ctx,
		members: &fakeMembers{owns: true, leaseEnd: time.Now().Add(longLease), live: make(map[model.Incarnation]wire.EntryInfo)},
		table:   &fakeTable{Table: memory.NewTable()},
		objects: memory.NewObjects(),
		pool:    newFakePool(),
		scope:   tally.NewTestScope("", nil),
	}
	w.raiseFence()
	w.owner = newOwner(ctx, w.deps())
	kept := make(chan struct{})
	go w.owner.run()
	go w.owner.adopter.run(ctx)
	go w.owner.watch.run(ctx)
	go func() {
		defer close(kept)
		w.owner.keeper.Run(ctx)
	}()
	for partition := range model.Partitions {
		w.owner.Acquire(partition, nil)
	}
	t.Cleanup(func() {
		cancel()
		w.owner.writer.Close()
		w.table.setErrors(nil, nil, nil)
		<-kept
	})
	return w
}

func (w *world) deps() ownerDeps {
	metered := NewMetrics(w.scope)
	peers := newMessageTracker()
	deps := ownerDeps{
		self:      wire.EntryInfo{Name: "entry-1", Incarnation: testSelf, Zone: testZone},
		members:   w.members,
		pool:      w.pool,
		peers:     peers,
		watch:     newOwnerWatch(w.members),
		admitting: func(time.Time) bool { return !w.closed.Load() },
		router:    routing.NewExpected(rand.New(rand.NewPCG(1, 2))),
		metrics:   metered,
	}
	deps.writer = claims.New(w.table, testSelf, w.members.Fence, claims.Options{
		Resolved: func(resolved []claims.Claim, err error) { w.owner.claimResolved(resolved, err) },
	})
	deps.adopter = newAdopter(testSelf, w.table, w.objects, w.pool, func(result adoptionResult) { w.owner.post(adopted{result}) })
	deps.keeper = answers.NewKeeper(answers.Options{Table: w.table, Objects: w.objects, Self: testSelf, Dropped: func(int) {}})
	deps.dispatcher = &dispatcher{
		metrics: deps.metrics,
		self:    testSelf, pool: w.pool, peers: peers, permits: openPermits{},
		report: func(end dispatchEnd) { w.owner.post(taskEnded{end}) },
	}
	return deps
}

// admit says whether work may be started.
func (w *world) admit(open bool) { w.closed.Store(!open) }

// openPermits grants everything.
type openPermits struct{}

func (openPermits) Permit(*wire.Target) wire.Permit { return wire.Permit{TTL: time.Second} }

// raiseFence writes the row that claims require.
func (w *world) raiseFence() {
	versions, err := w.table.Table.Commit(w.ctx, store.Txn{Writes: []store.Write{{Key: testFence, Value: []byte("f")}}})
	must.NoError(w.t, err)
	w.members.set(func(m *fakeMembers) { m.fence = store.Condition{Key: testFence, Version: versions[0]} })
}

// dropFence takes the session over.
func (w *world) dropFence() {
	_, err := w.table.Table.Commit(w.ctx, store.Txn{Writes: []store.Write{{Key: testFence, Delete: true}}})
	must.NoError(w.t, err)
}

// target returns sidecar number n. Its worker and address bear its number too.
func target(n int) wire.Target {
	name := fmt.Sprintf("s%d", n)
	return wire.Target{
		Sidecar: name, Incarnation: model.Incarnation(name + ".a"), Zone: testZone, Worker: fmt.Sprintf("w%d", n),
		Address: fmt.Sprintf("10.0.0.%d:1", n), State: wire.TargetReady, Slots: testSlots,
	}
}

// report lets sidecars report to the owner.
func (w *world) report(targets ...wire.Target) {
	for _, one := range targets {
		w.load++
		w.owner.renewed(&wire.RenewRequest{Target: one, Load: wire.Load{Sequence: w.load}})
	}
	synctest.Wait()
}

// key returns a fresh key that was created the given time ago.
func (w *world) key(age time.Duration) model.JobKey {
	w.keys++
	id := uuid.UUID{6: 0x70, 8: 0x80}
	millis := uint64(time.Now().Add(-age).UnixMilli())
	binary.BigEndian.PutUint64(id[:8], millis<<16)
	id[6] = 0x70
	binary.BigEndian.PutUint32(id[12:], w.keys)
	return model.JobKey{Caller: testCaller, ID: id}
}

// job returns a job with a fresh key.
func (w *world) job(tasks int) model.JobSpec {
	spec := model.JobSpec{Key: w.key(0), Timeout: 30 * time.Second}
	for range tasks {
		spec.Tasks = append(spec.Tasks, model.TaskSpec{Class: "eligibility"})
	}
	return spec
}

// pending is an answer that is awaited.
type pending struct {
	w    *world
	done chan wire.JobReply
}

func (w *world) await(do func() wire.JobReply) *pending {
	p := &pending{w: w, done: make(chan wire.JobReply, 1)}
	go func() { p.done <- do() }()
	synctest.Wait()
	return p
}

func (w *world) submit(spec model.JobSpec) *pending {
	return w.await(func() wire.JobReply { return w.owner.Submit(w.ctx, spec) })
}

func (w *world) request(spec model.JobSpec) *pending {
	return w.await(func() wire.JobReply { return w.owner.Request(w.ctx, spec) })
}

func (w *world) join(key model.JobKey, wait bool) *pending {
	return w.await(func() wire.JobReply { return w.owner.Join(w.ctx, &wire.JoinRequest{Key: key, Wait: wait}) })
}

// now returns the answer that must be there by now.
func (p *pending) now() wire.JobReply {
	p.w.t.Helper()
	synctest.Wait()
	select {
	case reply := <-p.done:
		return reply
	default:
		p.w.t.Fatal("no answer yet")
		return wire.JobReply{}
	}
}

// open checks that no answer has come.
func (p *pending) open() {
	p.w.t.Helper()
	synctest.Wait()
	select {
	case reply := <-p.done:
		p.w.t.Fatalf("answered early: %+v %+v", reply.Answer, reply.Refusal)
	default:
	}
}

// refusal checks that the answer is a refusal of that code and outcome.
func (p *pending) refusal(code model.Code, outcome model.Outcome) *model.Refusal {
	p.w.t.Helper()
	reply := p.now()
	must.NotNil(p.w.t, reply.Refusal)
	must.EqOp(p.w.t, code, reply.Refusal.Code)
	must.EqOp(p.w.t, outcome, reply.Refusal.Outcome)
	return reply.Refusal
}

// complete checks that the answer is complete.
func (p *pending) complete() *model.Answer {
	p.w.t.Helper()
	reply := p.now()
	must.NotNil(p.w.t, reply.Answer, must.Sprint(reply.Refusal))
	must.EqOp(p.w.t, model.Complete, reply.Answer.State)
	return reply.Answer
}

// failed checks that the answer is a failure of that code and outcome.
func (p *pending) failed(code model.Code, outcome model.Outcome) {
	p.w.t.Helper()
	reply := p.now()
	must.NotNil(p.w.t, reply.Answer, must.Sprint(reply.Refusal))
	must.EqOp(p.w.t, model.Failed, reply.Answer.State)
	must.EqOp(p.w.t, code, reply.Answer.Code)
	must.EqOp(p.w.t, outcome, reply.Answer.Outcome)
	must.SliceEmpty(p.w.t, reply.Answer.Results)
}

// runs returns the dispatches since the last call, which must be that many.
func (w *world) runs(count int) []*openRun {
	w.t.Helper()
	synctest.Wait()
	list := w.pool.newRuns()
	must.Len(w.t, count, list)
	return list
}

// run returns the one dispatch since the last call.
func (w *world) run() *openRun {
	w.t.Helper()
	return w.runs(1)[0]
}

// pass lets time go by while the sidecars keep reporting.
func (w *world) pass(d time.Duration, reporting ...wire.Target) {
	const step = 500 * time.Millisecond
	for d > 0 {
		time.Sleep(min(step, d))
		w.report(reporting...)
		d -= step
	}
	synctest.Wait()
}

func (w *world) count(name string) int64 {
	total := int64(0)
	for _, counter := range w.scope.Snapshot().Counters() {
		if counter.Name() == name {
			total += counter.Value()
		}
	}
	return total
}

func (w *world) wasted() int64 { return w.count(metrics.EntryWasted) }

// doneReply is the reply of a sidecar whose minion answered.
func doneReply(run *openRun, status int) wire.RunReply {
	body := fmt.Appendf(nil, `"%s %d"`, run.address, run.request.Ref.Index)
	return wire.RunReply{
		Status: wire.RunDone, Message: 1,
		Result: model.TaskResult{Index: run.request.Ref.Index, Status: status, Body: body, Digest: xxhash.Sum64(body), RunTime: 10 * time.Millisecond},
	}
}

func backReply(reason wire.NotStartedReason) wire.RunReply {
	return wire.RunReply{Status: wire.RunNotStarted, Reason: reason, Message: 1}
}
