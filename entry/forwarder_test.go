package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

var (
	selfInfo  = wire.EntryInfo{Name: "entry-1", Incarnation: testSelf, Address: "10.0.1.1:1"}
	otherInfo = wire.EntryInfo{Name: "entry-2", Incarnation: testOther, Address: "10.0.1.2:1"}
	thirdInfo = wire.EntryInfo{Name: "entry-3", Incarnation: testGone, Address: "10.0.1.3:1"}
)

// forwarder returns a Forwarder of the entry whose owner is under test.
func (w *ownerHarness) forwarder() *Forwarder {
	local := &core{self: selfInfo, members: w.members, owner: w.owner, sessions: w.owner.sessions}
	return &Forwarder{current: func() *core { return local }, pool: w.pool, metrics: w.owner.metrics}
}

// setOwner makes the given entry live and the owner of every partition.
func (w *ownerHarness) setOwner(by wire.EntryInfo) {
	w.members.set(func(m *fakeMembers) {
		m.owner = by
		m.live[by.Incarnation] = by
	})
}

func (w *ownerHarness) submitThroughForwarder(spec model.JobSpec) *pendingReply {
	forwarder := w.forwarder()
	return w.startCall(func() wire.JobReply { return forwarder.Submit(w.ctx, spec) })
}

var completeReply = wire.JobReply{Answer: &model.Answer{State: model.Complete}}

// TestForwarderSubmitsToOwnPartition submits a job whose partition the entry owns
// itself: no other entry is called.
func TestForwarderSubmitsToOwnPartition(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		w.setOwner(selfInfo)
		answer := w.submitThroughForwarder(w.job(1))
		run := w.run()
		run.reply(doneReply(run, 200))
		answer.complete()
		must.SliceEmpty(t, w.pool.callArgs(wire.MethodSubmit))
	})
}

// TestForwarderCallsRemoteOwner submits a job whose partition another entry owns.
// That entry is called, and the call names the owner's incarnation.
func TestForwarderCallsRemoteOwner(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.setOwner(otherInfo)
		w.pool.setHandler(wire.MethodSubmit, func(address string, args any) (any, error) {
			must.EqOp(t, otherInfo.Address, address)
			must.EqOp(t, testOther, args.(*wire.SubmitRequest).Owner)
			return completeReply, nil
		})
		w.submitThroughForwarder(w.job(1)).complete()
	})
}

// TestForwarderFollowsOwnerChange checks that a job is submitted to the new owner
// once the assignment names it, when the old owner has handed the partition over
// or was lost.
func TestForwarderFollowsOwnerChange(t *testing.T) {
	cases := []struct {
		name string
		old  func() (any, error)
	}{
		{"handed over", func() (any, error) { return refused(ownerHasMoved()), nil }},
		{"lost", func() (any, error) { return nil, errors.New("connection lost") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withOwner(t, func(w *ownerHarness) {
				w.setOwner(otherInfo)
				w.pool.setHandler(wire.MethodSubmit, func(address string, _ any) (any, error) {
					if address == thirdInfo.Address {
						return completeReply, nil
					}
					return c.old()
				})
				answer := w.submitThroughForwarder(w.job(1))
				time.Sleep(3 * ownerRetryInterval)
				answer.mustBePending()
				w.setOwner(thirdInfo)
				time.Sleep(2 * ownerRetryInterval)
				answer.complete()
				w.members.set(func(m *fakeMembers) { must.Positive(t, m.refreshCount) })
			})
		})
	}
}

// TestForwarderRetriesSameOwner resubmits a job to an owner to which only the
// connection was lost.
func TestForwarderRetriesSameOwner(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.setOwner(otherInfo)
		var tries atomic.Int64
		w.pool.setHandler(wire.MethodSubmit, func(string, any) (any, error) {
			if tries.Add(1) == 1 {
				return nil, errors.New("connection lost")
			}
			return completeReply, nil
		})
		answer := w.submitThroughForwarder(w.job(1))
		answer.mustBePending()
		time.Sleep(2 * ownerRetryInterval)
		answer.complete()
		must.EqOp(t, 2, tries.Load())
	})
}

// TestForwarderTimesOutWithoutOwner reaches no owner within ownerWaitTimeout. The
// refusal tells the caller when to retry, and does not claim that the job was
// not run.
func TestForwarderTimesOutWithoutOwner(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(w *ownerHarness)
	}{
		{"no owner", func(*ownerHarness) {}},
		{"owner does not answer", func(w *ownerHarness) { w.setOwner(otherInfo) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withOwner(t, func(w *ownerHarness) {
				c.prepare(w)
				answer := w.submitThroughForwarder(w.job(1))
				time.Sleep(ownerWaitTimeout - time.Second)
				answer.mustBePending()
				time.Sleep(time.Second + 2*ownerRetryInterval)
				refusal := answer.refusal(model.CodeOwnerUnreachable, model.Unknown)
				must.Positive(t, refusal.RetryAfter)
			})
		})
	}
}

// TestForwarderStopsWhenCallerDisconnects cancels the context of the caller's
// request during the wait for an owner, which ends the wait.
func TestForwarderStopsWhenCallerDisconnects(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		forwarder := w.forwarder()
		ctx, cancel := context.WithCancel(w.ctx)
		answer := w.startCall(func() wire.JobReply { return forwarder.Submit(ctx, w.job(1)) })
		answer.mustBePending()
		cancel()
		synctest.Wait()
		answer.refusal(model.CodeDeadline, model.Unknown)
	})
}

// TestForwarderLeavesFrozenOwner calls an owner that does not answer but keeps its
// connection open. The loss of that owner's session ends the call, and the new
// owner answers.
func TestForwarderLeavesFrozenOwner(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.setOwner(otherInfo)
		forwarder := w.forwarder()
		frozen := &hangingPool{fakePool: w.pool, address: otherInfo.Address}
		forwarder.pool = frozen
		w.pool.setHandler(wire.MethodSubmit, func(string, any) (any, error) { return completeReply, nil })
		answer := w.startCall(func() wire.JobReply { return forwarder.Submit(w.ctx, w.job(1)) })
		time.Sleep(time.Minute)
		answer.mustBePending()
		w.members.set(func(m *fakeMembers) { delete(m.live, testOther) })
		w.setOwner(thirdInfo)
		time.Sleep(2*sessionCheckInterval + 2*ownerRetryInterval)
		answer.complete()
	})
}

// hangingPool blocks calls to one address until their context ends.
type hangingPool struct {
	*fakePool
	address string
}

func (p *hangingPool) Call(ctx context.Context, address, method string, args, reply any) error {
	if address == p.address {
		<-ctx.Done()
		return ctx.Err()
	}
	return p.fakePool.Call(ctx, address, method, args, reply)
}

// TestForwarderCancelAndJoin checks that Cancel and Join call the owner of the
// key's partition.
func TestForwarderCancelAndJoin(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.setOwner(otherInfo)
		forwarder := w.forwarder()
		answer := func(string, any) (any, error) { return completeReply, nil }
		w.pool.setHandler(wire.MethodJoin, answer)
		w.pool.setHandler(wire.MethodCancel, answer)
		key := w.key(0)
		w.startCall(func() wire.JobReply { return forwarder.Join(w.ctx, key, true) }).complete()
		w.startCall(func() wire.JobReply { return forwarder.Cancel(w.ctx, key) }).complete()
		must.EqOp(t, key, w.pool.callArgs(wire.MethodJoin)[0].(*wire.JoinRequest).Key)
		must.EqOp(t, key, w.pool.callArgs(wire.MethodCancel)[0].(*wire.CancelRequest).Key)
	})
}
