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

// unequal returns a sidecar of little memory and one of much.
func unequal() (small, large wire.Target) {
	small, large = target(1), target(2)
	small.MemoryBytes = smallMemory
	large.MemoryBytes = largeMemory
	return small, large
}

// largeJob returns a job that only the larger sidecar can take.
func (w *world) largeJob(tasks int) model.JobSpec {
	spec := w.job(tasks)
	for i := range spec.Tasks {
		spec.Tasks[i].DeclaredSize = largeTask
	}
	return spec
}

// fillLarge occupies the larger sidecar.
func (w *world) fillLarge() []*openRun {
	w.submit(w.largeJob(testSlots + 1))
	return w.runs(testSlots + 1)
}

// TestBlockedTaskHoldsItsCallerNotUp queues tasks that fit only a full sidecar:
// the same caller's later task goes to the other one.
func TestBlockedTaskHoldsItsCallerNotUp(t *testing.T) {
	inWorld(t, func(w *world) {
		small, large := unequal()
		w.report(small, large)
		w.fillLarge()
		blocked := w.largeJob(1)
		w.submit(blocked)
		w.submit(w.largeJob(1))
		w.pass(time.Second, small, large)
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

// TestBlockedCallerHoldsOthersNotUp queues many such tasks of one caller ahead
// of another caller's task, which goes to the other sidecar.
func TestBlockedCallerHoldsOthersNotUp(t *testing.T) {
	inWorld(t, func(w *world) {
		small, large := unequal()
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

// TestBlockedTaskGoesFirst frees the sidecar that a task waits for while
// smaller ones wait too: it is not overtaken there.
func TestBlockedTaskGoesFirst(t *testing.T) {
	inWorld(t, func(w *world) {
		small, large := unequal()
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

// TestNothingIsLostBehindBlockedTasks lets mixed work end in the order in which
// it is sent: every job completes.
func TestNothingIsLostBehindBlockedTasks(t *testing.T) {
	inWorld(t, func(w *world) {
		small, large := unequal()
		w.report(small, large)
		var answers []*pending
		for range 10 {
			answers = append(answers, w.submit(w.largeJob(3)), w.submit(w.job(3)))
		}
		sent := 0
		for range 100 {
			for _, run := range w.pool.newRuns() {
				sent++
				run.reply(doneReply(run, 200))
			}
			w.pass(10*time.Millisecond, small, large)
		}
		for _, answer := range answers {
			answer.complete()
		}
		must.EqOp(t, 60, sent)
		must.EqOp(t, 0, w.owner.queue.Waiting())
	})
}
