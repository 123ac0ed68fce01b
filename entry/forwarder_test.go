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

// forwarder returns the forwarder of the world's entry.
func (w *world) forwarder() *Forwarder {
	own := &core{self: selfInfo, members: w.members, owner: w.owner, watch: w.owner.watch}
	return &Forwarder{current: func() *core { return own }, pool: w.pool, metrics: w.owner.metrics}
}

// setOwner names the owner of every partition.
func (w *world) setOwner(by wire.EntryInfo) {
	w.members.set(func(m *fakeMembers) {
		m.owner = by
		m.live[by.Incarnation] = by
	})
}

func (w *world) submitThroughForwarder(spec model.JobSpec) *pending {
	front := w.forwarder()
	return w.await(func() wire.JobReply { return front.Submit(w.ctx, spec) })
}

var completeReply = wire.JobReply{Answer: &model.Answer{State: model.Complete}}

// TestForwarderSubmitsToOwnPartition hands a job of its own partition to its own owner.
func TestForwarderSubmitsToOwnPartition(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		w.setOwner(selfInfo)
		answer := w.submitThroughForwarder(w.job(1))
		run := w.run()
		run.reply(doneReply(run, 200))
		answer.complete()
		must.SliceEmpty(t, w.pool.callArgs(wire.MethodSubmit))
	})
}

// TestForwarderCallsRemoteOwner hands a job to the entry that owns its partition, and names
// the incarnation that it takes for the owner.
func TestForwarderCallsRemoteOwner(t *testing.T) {
	inWorld(t, func(w *world) {
		w.setOwner(otherInfo)
		w.pool.setHandler(wire.MethodSubmit, func(address string, args any) (any, error) {
			must.EqOp(t, otherInfo.Address, address)
			must.EqOp(t, testOther, args.(*wire.SubmitRequest).Owner)
			return completeReply, nil
		})
		w.submitThroughForwarder(w.job(1)).complete()
	})
}

// TestForwarderFollowsOwnerChange sends a job to the new owner once the assignment names
// it, when the old one has handed the partition over or was lost.
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
			inWorld(t, func(w *world) {
				w.setOwner(otherInfo)
				w.pool.setHandler(wire.MethodSubmit, func(address string, _ any) (any, error) {
					if address == thirdInfo.Address {
						return completeReply, nil
					}
					return c.old()
				})
				answer := w.submitThroughForwarder(w.job(1))
				time.Sleep(3 * ownerRetryInterval)
				answer.open()
				w.setOwner(thirdInfo)
				time.Sleep(2 * ownerRetryInterval)
				answer.complete()
				w.members.set(func(m *fakeMembers) { must.Positive(t, m.refreshCount) })
			})
		})
	}
}

// TestForwarderRetriesSameOwner resubmits to an owner that lost no more than
// a connection.
func TestForwarderRetriesSameOwner(t *testing.T) {
	inWorld(t, func(w *world) {
		w.setOwner(otherInfo)
		var tries atomic.Int64
		w.pool.setHandler(wire.MethodSubmit, func(string, any) (any, error) {
			if tries.Add(1) == 1 {
				return nil, errors.New("connection lost")
			}
			return completeReply, nil
		})
		answer := w.submitThroughForwarder(w.job(1))
		answer.open()
		time.Sleep(2 * ownerRetryInterval)
		answer.complete()
		must.EqOp(t, 2, tries.Load())
	})
}

// TestForwarderTimesOutWithoutOwner finds no owner: the caller is told when to come back, and
// never that the job was not run.
func TestForwarderTimesOutWithoutOwner(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(w *world)
	}{
		{"no owner", func(*world) {}},
		{"owner does not answer", func(w *world) { w.setOwner(otherInfo) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				c.prepare(w)
				answer := w.submitThroughForwarder(w.job(1))
				time.Sleep(ownerWaitTimeout - time.Second)
				answer.open()
				time.Sleep(time.Second + 2*ownerRetryInterval)
				refusal := answer.refusal(model.CodeOwnerUnreachable, model.Unknown)
				must.Positive(t, refusal.RetryAfter)
			})
		})
	}
}

// TestForwarderStopsWhenCallerDisconnects ends the wait with the caller's own connection.
func TestForwarderStopsWhenCallerDisconnects(t *testing.T) {
	inWorld(t, func(w *world) {
		front := w.forwarder()
		ctx, cancel := context.WithCancel(w.ctx)
		answer := w.await(func() wire.JobReply { return front.Submit(ctx, w.job(1)) })
		answer.open()
		cancel()
		synctest.Wait()
		answer.refusal(model.CodeDeadline, model.Unknown)
	})
}

// TestForwarderLeavesFrozenOwner holds a call at an owner that does not answer and
// keeps its connection: the loss of its session ends the wait.
func TestForwarderLeavesFrozenOwner(t *testing.T) {
	inWorld(t, func(w *world) {
		w.setOwner(otherInfo)
		front := w.forwarder()
		frozen := &hangingPool{fakePool: w.pool, address: otherInfo.Address}
		front.pool = frozen
		w.pool.setHandler(wire.MethodSubmit, func(string, any) (any, error) { return completeReply, nil })
		answer := w.await(func() wire.JobReply { return front.Submit(w.ctx, w.job(1)) })
		time.Sleep(time.Minute)
		answer.open()
		w.members.set(func(m *fakeMembers) { delete(m.live, testOther) })
		w.setOwner(thirdInfo)
		time.Sleep(2*ownerWatchInterval + 2*ownerRetryInterval)
		answer.complete()
	})
}

// hangingPool leaves calls to one address without an answer.
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

// TestForwarderCancelAndJoin asks the owner of the partition.
func TestForwarderCancelAndJoin(t *testing.T) {
	inWorld(t, func(w *world) {
		w.setOwner(otherInfo)
		front := w.forwarder()
		answer := func(string, any) (any, error) { return completeReply, nil }
		w.pool.setHandler(wire.MethodJoin, answer)
		w.pool.setHandler(wire.MethodCancel, answer)
		key := w.key(0)
		w.await(func() wire.JobReply { return front.Join(w.ctx, key, true) }).complete()
		w.await(func() wire.JobReply { return front.Cancel(w.ctx, key) }).complete()
		must.EqOp(t, key, w.pool.callArgs(wire.MethodJoin)[0].(*wire.JoinRequest).Key)
		must.EqOp(t, key, w.pool.callArgs(wire.MethodCancel)[0].(*wire.CancelRequest).Key)
	})
}
