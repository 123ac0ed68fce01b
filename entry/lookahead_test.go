package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

const (
	smallMemory = 1 << 20
	largeMemory = 1 << 30
	largeTask   = 1 << 25
)

// unequalTargets returns a target with little memory and one with much memory.
func unequalTargets() (small, large wire.Target) {
	small, large = target(1), target(2)
	small.MemoryBytes = smallMemory
	large.MemoryBytes = largeMemory
	return small, large
}

// largeJob returns a job whose tasks fit only the larger target.
func (w *ownerHarness) largeJob(tasks int) model.JobSpec {
	spec := w.job(tasks)
	for i := range spec.Tasks {
		spec.Tasks[i].DeclaredSize = largeTask
	}
	return spec
}

// fillLarge fills the slots and the queue of the larger target.
func (w *ownerHarness) fillLarge() []*openRun {
	w.submit(w.largeJob(testSlots + 1))
	return w.runs(testSlots + 1)
}

// TestBlockedTaskDoesNotDelaySameCaller queues tasks that fit only a full target. A
// later task of the same caller is sent to the other target.
func TestBlockedTaskDoesNotDelaySameCaller(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		small, large := unequalTargets()
		w.report(small, large)
		w.fillLarge()
		blocked := w.largeJob(1)
		w.submit(blocked)
		w.submit(w.largeJob(1))
		w.advance(time.Second, small, large)
		w.runs(0)
		own := w.job(1)
		w.submit(own)
		run := w.run()
		must.EqOp(t, own.Key, run.request.Ref.Key)
		must.EqOp(t, small.Address, run.address)
		first, _ := w.owner.queue.Peek()
		must.EqOp(t, blocked.Key, first.Key)
	})
}

// TestBlockedCallerDoesNotDelayOthers queues many tasks of one caller that fit only
// a full target, ahead of another caller's task. That task is sent to the other
// target.
func TestBlockedCallerDoesNotDelayOthers(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		small, large := unequalTargets()
		w.report(small, large)
		w.fillLarge()
		served := w.job(10)
		served.Key.Caller = "subscription-desk"
		answer := w.submit(served)
		for list := w.pool.newRuns(); len(list) > 0; list = w.pool.newRuns() {
			for _, run := range list {
				run.reply(doneReply(run, 200))
			}
			synctest.Wait()
		}
		answer.complete()
		blocked := w.largeJob(1)
		w.submit(blocked)
		for range 100 {
			w.submit(w.largeJob(1))
		}
		next := w.job(1)
		next.Key.Caller = "subscription-desk"
		w.submit(next)
		run := w.run()
		must.EqOp(t, next.Key, run.request.Ref.Key)
		must.EqOp(t, small.Address, run.address)
		first, _ := w.owner.queue.Peek()
		must.EqOp(t, blocked.Key, first.Key)
	})
}

// TestBlockedTaskIsDispatchedFirst frees room at the target that a large task waits
// for while smaller tasks wait too. The large task is sent there first.
func TestBlockedTaskIsDispatchedFirst(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		small, large := unequalTargets()
		w.report(small, large)
		filled := w.fillLarge()
		waiting := w.largeJob(1)
		w.submit(waiting)
		w.runs(0)
		for range 4 * testSlots {
			w.submit(w.job(1))
		}
		for _, run := range w.pool.newRuns() {
			must.EqOp(t, small.Address, run.address)
		}
		filled[0].reply(doneReply(filled[0], 200))
		must.EqOp(t, waiting.Key, w.run().request.Ref.Key)
	})
}

// TestBlockedAndOtherTasksAllComplete runs small and large jobs together. Every task
// is dispatched once and every job completes.
func TestBlockedAndOtherTasksAllComplete(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		small, large := unequalTargets()
		w.report(small, large)
		var answers []*pendingReply
		for range 10 {
			answers = append(answers, w.submit(w.largeJob(3)), w.submit(w.job(3)))
		}
		sent := 0
		for range 100 {
			for _, run := range w.pool.newRuns() {
				sent++
				run.reply(doneReply(run, 200))
			}
			w.advance(10*time.Millisecond, small, large)
		}
		for _, answer := range answers {
			answer.complete()
		}
		must.EqOp(t, 60, sent)
		must.EqOp(t, 0, w.owner.queue.Waiting())
	})
}
