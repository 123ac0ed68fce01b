package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/decision/retry"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/wire"
)

// single returns a request without a key of its caller's.
func (w *world) single(idempotent bool) model.JobSpec {
	spec := w.job(1)
	spec.Idempotent = idempotent
	return spec
}

// TestRetryGoesElsewhere loses an idempotent request's worker: it is sent to
// another one, as repeatable.
func TestRetryGoesElsewhere(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1), target(2))
		answer := w.request(w.single(true))
		first := w.run()
		must.True(t, first.request.Repeatable)
		first.fail(wire.ErrOutcomeUnknown)
		second := w.run()
		must.NotEq(t, first.address, second.address)
		second.reply(doneReply(second, 200))
		answer.complete()
		must.EqOp(t, 1, w.count(metrics.EntryRetries))
		must.EqOp(t, 0, w.owner.queue.Waiting())
	})
}

// TestRetryWithoutAnother repeats the request at the only sidecar there is.
func TestRetryWithoutAnother(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		answer := w.request(w.single(true))
		first := w.run()
		first.reply(doneReply(first, 500))
		second := w.run()
		second.reply(doneReply(second, 200))
		answer.complete()
	})
}

// TestOnlyRepeatableIsRepeated loses the worker of work that may start once:
// it fails, and nothing is sent again, nor a second time when it is late.
func TestOnlyRepeatableIsRepeated(t *testing.T) {
	cases := []struct {
		name string
		ask  func(w *world) *pending
	}{
		{"non-idempotent request", func(w *world) *pending { return w.request(w.single(false)) }},
		{"idempotent request with a key", func(w *world) *pending { return w.submit(w.single(true)) }},
		{"job", func(w *world) *pending { return w.submit(w.job(1)) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.report(target(1), target(2))
				answer := c.ask(w)
				run := w.run()
				must.False(t, run.request.Repeatable)
				w.pass(10*time.Second, target(1), target(2))
				w.runs(0)
				run.fail(wire.ErrOutcomeUnknown)
				answer.failed(model.CodeTaskUnknown, model.Unknown)
				w.pass(time.Second, target(1), target(2))
				w.runs(0)
			})
		})
	}
}

// TestRetriesEndWithTheBudget loses every dispatch: the caller's budget bounds
// what is sent, and another caller's is whole.
func TestRetriesEndWithTheBudget(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1), target(2))
		floor := int(retry.DefaultFloorPerSecond * retry.DefaultWindow.Seconds())
		const requests = 20
		sent := 0
		for range requests {
			answer := w.request(w.single(true))
			sent += w.loseAll()
			answer.failed(model.CodeTaskUnknown, model.Unknown)
		}
		allowed := floor + int(retry.DefaultRatio*requests)
		must.EqOp(t, requests+allowed, sent)
		must.EqOp(t, int64(allowed), w.count(metrics.EntryRetries))
		must.Positive(t, w.count(metrics.EntryBudgetRefused))

		other := w.single(true)
		other.Key.Caller = "subscription-desk"
		w.request(other)
		must.EqOp(t, maxRequestRuns, w.loseAll())
	})
}

// loseAll ends every dispatch without an answer until no more comes.
func (w *world) loseAll() int {
	total := 0
	for {
		w.report(target(1), target(2))
		list := w.pool.newRuns()
		if len(list) == 0 {
			return total
		}
		total += len(list)
		for _, run := range list {
			run.fail(wire.ErrOutcomeUnknown)
		}
	}
}

// TestHedge leaves an idempotent request unanswered: a second sidecar gets it,
// the first whole answer wins, and the other dispatch is withdrawn.
func TestHedge(t *testing.T) {
	for _, winner := range []int{0, 1} {
		t.Run([]string{"first wins", "hedge wins"}[winner], func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.report(target(1), target(2))
				spec := w.single(true)
				spec.Tasks[0].DeclaredRun = time.Millisecond
				answer := w.request(spec)
				first := w.run()
				time.Sleep(minHedgeDelay - ownerTick)
				w.runs(0)
				time.Sleep(3 * ownerTick)
				second := w.run()
				must.NotEq(t, first.address, second.address)
				must.EqOp(t, 2, w.owner.inFlight)

				both := []*openRun{first, second}
				won, lost := both[winner], both[1-winner]
				won.reply(doneReply(won, 200))
				results := answer.complete().Results
				must.Eq(t, doneReply(won, 200).Result.Body, results[0].Body)
				must.Len(t, 1, w.pool.callArgs(wire.MethodWithdraw))
				lost.reply(doneReply(lost, 200))
				w.pass(time.Second, target(1), target(2))
				w.runs(0)
				must.EqOp(t, 1, w.wasted())
				must.EqOp(t, 0, w.owner.inFlight)
			})
		})
	}
}

// TestNoHedge checks when a late request is not sent twice.
func TestNoHedge(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(w *world) []wire.Target
	}{
		{"no other sidecar", func(w *world) []wire.Target { return []wire.Target{target(1)} }},
		{"other sidecar closed", func(w *world) []wire.Target {
			w.owner.post(bundleChanged{model.Bundle{Version: 2, DrainedTargets: []string{"s2"}}})
			return []wire.Target{target(1), target(2)}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				reporting := c.prepare(w)
				w.report(reporting...)
				answer := w.request(w.single(true))
				run := w.run()
				w.pass(5*time.Second, reporting...)
				w.runs(0)
				run.reply(doneReply(run, 200))
				answer.complete()
			})
		})
	}
}

// TestNoHedgeBesideQueuedWork holds a hedge back while first dispatches wait,
// though a sidecar has room.
func TestNoHedgeBesideQueuedWork(t *testing.T) {
	inWorld(t, func(w *world) {
		small, large := unequal()
		third := target(3)
		third.MemoryBytes = smallMemory
		w.report(small, large, third)
		filled := w.fillLarge()
		w.submit(w.largeJob(1))
		w.request(w.single(true))
		w.run()
		w.pass(5*time.Second, small, large, third)
		w.runs(0)
		filled[0].reply(doneReply(filled[0], 200))
		w.run()
		w.pass(time.Second, small, large, third)
		must.True(t, w.run().request.Repeatable)
	})
}

// TestRepeatedRequestKeepsItsPlace counts a request against its caller's
// concurrency until it is answered, also after a lost dispatch.
func TestRepeatedRequestKeepsItsPlace(t *testing.T) {
	inWorld(t, func(w *world) {
		w.owner.post(bundleChanged{model.Bundle{Version: 2, Callers: []model.Caller{{Name: testCaller, Concurrency: 1}}}})
		w.report(target(1), target(2))
		answer := w.request(w.single(true))
		w.run().fail(wire.ErrOutcomeUnknown)
		second := w.run()
		w.request(w.single(true)).refusal(model.CodeQuota, model.NotRun)
		second.reply(doneReply(second, 200))
		answer.complete()
		w.request(w.single(true))
		w.run()
	})
}

// TestHandedBackSidecarIsNoTry lets one sidecar hand requests back and the other
// lose them: they never go back to the one that lost them.
func TestHandedBackSidecarIsNoTry(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1), target(2))
		for range 10 {
			answer := w.request(w.single(true))
			w.run().reply(backReply(wire.ReasonQueueTimeout))
			lost := w.run()
			lost.fail(wire.ErrOutcomeUnknown)
			last := w.run()
			must.NotEq(t, lost.address, last.address)
			last.reply(doneReply(last, 200))
			answer.complete()
		}
	})
}

// TestHedgeWaitsForQueuedWork gives a late request no second sidecar while the
// only other one is full, and what is free there first to what waits.
func TestHedgeWaitsForQueuedWork(t *testing.T) {
	inWorld(t, func(w *world) {
		big := target(2)
		big.MemoryBytes = 1 << 30
		small := target(1)
		small.MemoryBytes = 1 << 20
		w.report(small)
		w.request(w.single(true))
		w.run()
		w.report(big)
		filling := w.job(testSlots + 1)
		for i := range filling.Tasks {
			filling.Tasks[i].DeclaredSize = 1 << 25
		}
		w.submit(filling)
		filled := w.runs(testSlots + 1)
		waiting := w.job(1)
		waiting.Tasks[0].DeclaredSize = 1 << 25
		w.submit(waiting)
		w.pass(5*time.Second, small, big)
		w.runs(0)
		filled[0].reply(doneReply(filled[0], 200))
		must.EqOp(t, waiting.Key, w.run().request.Ref.Key)
	})
}

// TestRequestsGoOnWithoutTheStore takes and runs a keyless request while the
// table can't be reached: it needs no claim.
func TestRequestsGoOnWithoutTheStore(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		w.table.setErrors(store.ErrUnavailable, nil, store.ErrUnavailable)
		w.submit(w.single(true)).refusal(model.CodeStoreUnavailable, model.NotRun)
		answer := w.request(w.single(true))
		run := w.run()
		run.reply(doneReply(run, 200))
		answer.complete()
		w.admit(false)
		w.request(w.single(true)).refusal(model.CodeStoreUnavailable, model.NotRun)
	})
}

// TestBudgetsFollowTheBundle forgets the budget of a caller that is gone.
func TestBudgetsFollowTheBundle(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		w.request(w.single(true))
		must.MapLen(t, 1, w.owner.budgets)
		w.owner.post(bundleChanged{model.Bundle{Version: 2, Callers: []model.Caller{{Name: testCaller}}}})
		w.runs(1)
		must.MapLen(t, 1, w.owner.budgets)
		w.owner.post(bundleChanged{model.Bundle{Version: 3}})
		w.runs(0)
		must.MapLen(t, 0, w.owner.budgets)
	})
}
