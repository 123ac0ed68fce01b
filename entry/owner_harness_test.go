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
	// longLease is longer than every test that does not end the lease itself.
	longLease = time.Hour
)

// ownerHarness runs an owner with fakes for everything around it, in the synctest
// bubble of one test. After synctest.Wait, the owner has handled all events posted
// before.
type ownerHarness struct {
	t       *testing.T
	ctx     context.Context
	members *fakeMembers
	table   *fakeTable
	objects *memory.Objects
	pool    *fakePool
	scope   tally.TestScope
	owner   *Owner
	// notAdmitting is set while the entry may not start tasks.
	notAdmitting atomic.Bool
	keyCount     uint32
	loadSequence uint64
}

// withOwner runs a test in a bubble with an owner that owns every partition.
func withOwner(t *testing.T, test func(w *ownerHarness)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		w := newOwnerHarness(t)
		test(w)
	})
}

func newOwnerHarness(t *testing.T) *ownerHarness {
	ctx, cancel := context.WithCancel(context.Background())
	w := &ownerHarness{
		t:       t,
		ctx:     ctx,
		members: &fakeMembers{owns: true, leaseEnd: time.Now().Add(longLease), live: make(map[model.Incarnation]wire.EntryInfo)},
		table:   &fakeTable{Table: memory.NewTable()},
		objects: memory.NewObjects(),
		pool:    newFakePool(),
		scope:   tally.NewTestScope("", nil),
	}
	w.writeFence()
	w.owner = newOwner(ctx, w.deps())
	answersWritten := make(chan struct{})
	go w.owner.run()
	go w.owner.adopter.run(ctx)
	go w.owner.sessions.run(ctx)
	go func() {
		defer close(answersWritten)
		w.owner.answerWriter.Run(ctx)
	}()
	for partition := range model.Partitions {
		w.owner.Acquire(partition, nil)
	}
	t.Cleanup(func() {
		cancel()
		w.owner.claimWriter.Close()
		w.table.setErrors(nil, nil, nil)
		<-answersWritten
	})
	return w
}

func (w *ownerHarness) deps() ownerDeps {
	ownerMetrics := NewMetrics(w.scope)
	peers := newMessageTracker()
	deps := ownerDeps{
		self:      wire.EntryInfo{Name: "entry-1", Incarnation: testSelf, Zone: testZone},
		members:   w.members,
		pool:      w.pool,
		peers:     peers,
		sessions:  newSessionWatcher(w.members),
		admitting: func(time.Time) bool { return !w.notAdmitting.Load() },
		router:    routing.NewShortestExpectedDelay(rand.New(rand.NewPCG(1, 2))),
		metrics:   ownerMetrics,
	}
	deps.claimWriter = claims.New(w.table, testSelf, w.members.Fence, claims.Options{
		OnResolved: func(resolved []claims.Claim, err error) { w.owner.claimResolved(resolved, err) },
	})
	deps.adopter = newAdopter(testSelf, w.table, w.objects, w.pool, func(result adoptionResult) { w.owner.post(adoptionResultEvent{result}) })
	deps.answerWriter = answers.NewWriter(answers.Options{Table: w.table, Objects: w.objects, Self: testSelf, OnDropped: func(int) {}})
	deps.dispatcher = &dispatcher{
		metrics: deps.metrics,
		self:    testSelf, pool: w.pool, peers: peers, permits: unlimitedPermits{},
		report: func(result dispatchResult) { w.owner.post(dispatchResultEvent{result}) },
	}
	return deps
}

// setAdmitting sets whether the entry may start tasks.
func (w *ownerHarness) setAdmitting(admitting bool) { w.notAdmitting.Store(!admitting) }

// unlimitedPermits grants a permit for every target.
type unlimitedPermits struct{}

func (unlimitedPermits) Permit(*wire.Target) wire.Permit { return wire.Permit{TTL: time.Second} }

// writeFence writes the fence row that every claim requires.
func (w *ownerHarness) writeFence() {
	versions, err := w.table.Table.Commit(w.ctx, store.Txn{Writes: []store.Write{{Key: testFence, Value: []byte("f")}}})
	must.NoError(w.t, err)
	w.members.set(func(m *fakeMembers) { m.fence = store.Condition{Key: testFence, Version: versions[0]} })
}

// deleteFence deletes the fence row, as an entry does that takes over the session.
func (w *ownerHarness) deleteFence() {
	_, err := w.table.Table.Commit(w.ctx, store.Txn{Writes: []store.Write{{Key: testFence, Delete: true}}})
	must.NoError(w.t, err)
}

// target returns the target of sidecar number n. Its worker and address contain n
// too.
func target(n int) wire.Target {
	name := fmt.Sprintf("s%d", n)
	return wire.Target{
		Sidecar: name, Incarnation: model.Incarnation(name + ".a"), Zone: testZone, Worker: fmt.Sprintf("w%d", n),
		Address: fmt.Sprintf("10.0.0.%d:1", n), State: wire.TargetReady, Slots: testSlots,
	}
}

// report sends one report of each target to the owner.
func (w *ownerHarness) report(targets ...wire.Target) {
	for _, one := range targets {
		w.loadSequence++
		w.owner.postRenewal(&wire.RenewRequest{Target: one, Load: wire.Load{Sequence: w.loadSequence}})
	}
	synctest.Wait()
}

// key returns a new key with a creation time of age ago.
func (w *ownerHarness) key(age time.Duration) model.JobKey {
	w.keyCount++
	id := uuid.UUID{6: 0x70, 8: 0x80}
	millis := uint64(time.Now().Add(-age).UnixMilli())
	binary.BigEndian.PutUint64(id[:8], millis<<16)
	id[6] = 0x70
	binary.BigEndian.PutUint32(id[12:], w.keyCount)
	return model.JobKey{Caller: testCaller, ID: id}
}

// job returns a job with a new key and the given number of tasks.
func (w *ownerHarness) job(tasks int) model.JobSpec {
	spec := model.JobSpec{Key: w.key(0), Timeout: 30 * time.Second}
	for range tasks {
		spec.Tasks = append(spec.Tasks, model.TaskSpec{Class: "eligibility"})
	}
	return spec
}

// pendingReply is the reply of a call in progress.
type pendingReply struct {
	w    *ownerHarness
	done chan wire.JobReply
}

func (w *ownerHarness) startCall(do func() wire.JobReply) *pendingReply {
	p := &pendingReply{w: w, done: make(chan wire.JobReply, 1)}
	go func() { p.done <- do() }()
	synctest.Wait()
	return p
}

func (w *ownerHarness) submit(spec model.JobSpec) *pendingReply {
	return w.startCall(func() wire.JobReply { return w.owner.Submit(w.ctx, spec) })
}

func (w *ownerHarness) request(spec model.JobSpec) *pendingReply {
	return w.startCall(func() wire.JobReply { return w.owner.Request(w.ctx, spec) })
}

func (w *ownerHarness) join(key model.JobKey, wait bool) *pendingReply {
	return w.startCall(func() wire.JobReply { return w.owner.Join(w.ctx, &wire.JoinRequest{Key: key, Wait: wait}) })
}

// get returns the reply and fails the test if there is none yet.
func (p *pendingReply) get() wire.JobReply {
	p.w.t.Helper()
	synctest.Wait()
	select {
	case reply := <-p.done:
		return reply
	default:
		p.w.t.Fatal("no reply yet")
		return wire.JobReply{}
	}
}

// mustBePending checks that there is no reply yet.
func (p *pendingReply) mustBePending() {
	p.w.t.Helper()
	synctest.Wait()
	select {
	case reply := <-p.done:
		p.w.t.Fatalf("unexpected early reply: %+v %+v", reply.Answer, reply.Refusal)
	default:
	}
}

// refusal checks that the reply is a refusal with the code and outcome, and returns
// it.
func (p *pendingReply) refusal(code model.Code, outcome model.Outcome) *model.Refusal {
	p.w.t.Helper()
	reply := p.get()
	must.NotNil(p.w.t, reply.Refusal)
	must.EqOp(p.w.t, code, reply.Refusal.Code)
	must.EqOp(p.w.t, outcome, reply.Refusal.Outcome)
	return reply.Refusal
}

// complete checks that the reply is a complete answer and returns it.
func (p *pendingReply) complete() *model.Answer {
	p.w.t.Helper()
	reply := p.get()
	must.NotNil(p.w.t, reply.Answer, must.Sprint(reply.Refusal))
	must.EqOp(p.w.t, model.Complete, reply.Answer.State)
	return reply.Answer
}

// failed checks that the reply is a failure with the code and outcome and without
// results.
func (p *pendingReply) failed(code model.Code, outcome model.Outcome) {
	p.w.t.Helper()
	reply := p.get()
	must.NotNil(p.w.t, reply.Answer, must.Sprint(reply.Refusal))
	must.EqOp(p.w.t, model.Failed, reply.Answer.State)
	must.EqOp(p.w.t, code, reply.Answer.Code)
	must.EqOp(p.w.t, outcome, reply.Answer.Outcome)
	must.SliceEmpty(p.w.t, reply.Answer.Results)
}

// runs returns the dispatches since the last call and checks their number.
func (w *ownerHarness) runs(count int) []*openRun {
	w.t.Helper()
	synctest.Wait()
	list := w.pool.newRuns()
	must.Len(w.t, count, list)
	return list
}

// run returns the dispatch since the last call and checks that there is only one.
func (w *ownerHarness) run() *openRun {
	w.t.Helper()
	return w.runs(1)[0]
}

// advance advances the fake clock while the targets report every 500 ms.
func (w *ownerHarness) advance(duration time.Duration, reporting ...wire.Target) {
	const step = 500 * time.Millisecond
	for duration > 0 {
		time.Sleep(min(step, duration))
		w.report(reporting...)
		duration -= step
	}
	synctest.Wait()
}

func (w *ownerHarness) counterValue(name string) int64 {
	total := int64(0)
	for _, counter := range w.scope.Snapshot().Counters() {
		if counter.Name() == name {
			total += counter.Value()
		}
	}
	return total
}

func (w *ownerHarness) wasted() int64 { return w.counterValue(metrics.EntryWastedDispatches) }

// doneReply returns the reply of a sidecar whose minion answered the run.
func doneReply(run *openRun, status int) wire.RunReply {
	body := fmt.Appendf(nil, `"%s %d"`, run.address, run.request.Ref.Index)
	return wire.RunReply{
		Status: wire.RunDone, MessageNumber: 1,
		Result: model.TaskResult{Index: run.request.Ref.Index, Status: status, Body: body, Digest: xxhash.Sum64(body), RunTime: 10 * time.Millisecond},
	}
}

func notStartedReply(reason wire.NotStartedReason) wire.RunReply {
	return wire.RunReply{Status: wire.RunNotStarted, Reason: reason, MessageNumber: 1}
}
