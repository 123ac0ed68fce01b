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

// front returns the front of the world's entry.
func (w *world) front() *Forwarder {
	own := &core{self: selfInfo, members: w.members, owner: w.owner, watch: w.owner.watch}
	return &Forwarder{current: func() *core { return own }, pool: w.pool, metrics: w.owner.metrics}
}

// owned names the owner of every partition.
func (w *world) owned(by wire.EntryInfo) {
	w.members.set(func(m *fakeMembers) {
		m.owner = by
		m.live[by.Incarnation] = by
	})
}

func (w *world) frontSubmit(spec model.JobSpec) *pending {
	front := w.front()
	return w.await(func() wire.JobReply { return front.Submit(w.ctx, spec) })
}

var completeReply = wire.JobReply{Answer: &model.Answer{State: model.Complete}}

// TestFrontIsOwner hands a job of its own partition to its own owner.
func TestFrontIsOwner(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		w.owned(selfInfo)
		answer := w.frontSubmit(w.job(1))
		run := w.run()
		run.reply(doneReply(run, 200))
		answer.complete()
		must.SliceEmpty(t, w.pool.called(wire.MethodSubmit))
	})
}

// TestFrontForwards hands a job to the entry that owns its partition, and names
// the incarnation that it takes for the owner.
func TestFrontForwards(t *testing.T) {
	inWorld(t, func(w *world) {
		w.owned(otherInfo)
		w.pool.answer(wire.MethodSubmit, func(address string, args any) (any, error) {
			must.EqOp(t, otherInfo.Address, address)
			must.EqOp(t, testOther, args.(*wire.SubmitRequest).Owner)
			return completeReply, nil
		})
		w.frontSubmit(w.job(1)).complete()
	})
}

// TestFrontOwnerMoves sends a job to the new owner once the assignment names
// it, when the old one has handed the partition over or was lost.
func TestFrontOwnerMoves(t *testing.T) {
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
				w.owned(otherInfo)
				w.pool.answer(wire.MethodSubmit, func(address string, _ any) (any, error) {
					if address == thirdInfo.Address {
						return completeReply, nil
					}
					return c.old()
				})
				answer := w.frontSubmit(w.job(1))
				time.Sleep(3 * ownerRetryInterval)
				answer.open()
				w.owned(thirdInfo)
				time.Sleep(2 * ownerRetryInterval)
				answer.complete()
				w.members.set(func(m *fakeMembers) { must.Positive(t, m.refreshs) })
			})
		})
	}
}

// TestFrontTriesTheSameOwnerAgain resubmits to an owner that lost no more than
// a connection.
func TestFrontTriesTheSameOwnerAgain(t *testing.T) {
	inWorld(t, func(w *world) {
		w.owned(otherInfo)
		var tries atomic.Int64
		w.pool.answer(wire.MethodSubmit, func(string, any) (any, error) {
			if tries.Add(1) == 1 {
				return nil, errors.New("connection lost")
			}
			return completeReply, nil
		})
		answer := w.frontSubmit(w.job(1))
		answer.open()
		time.Sleep(2 * ownerRetryInterval)
		answer.complete()
		must.EqOp(t, 2, tries.Load())
	})
}

// TestFrontGivesUp finds no owner: the caller is told when to come back, and
// never that the job was not run.
func TestFrontGivesUp(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(w *world)
	}{
		{"no owner", func(*world) {}},
		{"owner does not answer", func(w *world) { w.owned(otherInfo) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				c.prepare(w)
				answer := w.frontSubmit(w.job(1))
				time.Sleep(ownerWaitTimeout - time.Second)
				answer.open()
				time.Sleep(time.Second + 2*ownerRetryInterval)
				refusal := answer.refusal(model.CodeOwnerUnreachable, model.Unknown)
				must.Positive(t, refusal.RetryAfter)
			})
		})
	}
}

// TestFrontCallerLeaves ends the wait with the caller's own connection.
func TestFrontCallerLeaves(t *testing.T) {
	inWorld(t, func(w *world) {
		front := w.front()
		ctx, cancel := context.WithCancel(w.ctx)
		answer := w.await(func() wire.JobReply { return front.Submit(ctx, w.job(1)) })
		answer.open()
		cancel()
		synctest.Wait()
		answer.refusal(model.CodeDeadline, model.Unknown)
	})
}

// TestFrontLeavesFrozenOwner holds a call at an owner that does not answer and
// keeps its connection: the loss of its session ends the wait.
func TestFrontLeavesFrozenOwner(t *testing.T) {
	inWorld(t, func(w *world) {
		w.owned(otherInfo)
		front := w.front()
		frozen := &holdingPool{fakePool: w.pool, address: otherInfo.Address}
		front.pool = frozen
		w.pool.answer(wire.MethodSubmit, func(string, any) (any, error) { return completeReply, nil })
		answer := w.await(func() wire.JobReply { return front.Submit(w.ctx, w.job(1)) })
		time.Sleep(time.Minute)
		answer.open()
		w.members.set(func(m *fakeMembers) { delete(m.live, testOther) })
		w.owned(thirdInfo)
		time.Sleep(2*ownerWatchInterval + 2*ownerRetryInterval)
		answer.complete()
	})
}

// holdingPool leaves calls to one address without an answer.
type holdingPool struct {
	*fakePool
	address string
}

func (p *holdingPool) Call(ctx context.Context, address, method string, args, reply any) error {
	if address == p.address {
		<-ctx.Done()
		return ctx.Err()
	}
	return p.fakePool.Call(ctx, address, method, args, reply)
}

// TestFrontCancelAndJoin asks the owner of the partition.
func TestFrontCancelAndJoin(t *testing.T) {
	inWorld(t, func(w *world) {
		w.owned(otherInfo)
		front := w.front()
		answer := func(string, any) (any, error) { return completeReply, nil }
		w.pool.answer(wire.MethodJoin, answer)
		w.pool.answer(wire.MethodCancel, answer)
		key := w.key(0)
		w.await(func() wire.JobReply { return front.Join(w.ctx, key, true) }).complete()
		w.await(func() wire.JobReply { return front.Cancel(w.ctx, key) }).complete()
		must.EqOp(t, key, w.pool.called(wire.MethodJoin)[0].(*wire.JoinRequest).Key)
		must.EqOp(t, key, w.pool.called(wire.MethodCancel)[0].(*wire.CancelRequest).Key)
	})
}
