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

// singleTaskJob returns a job with one task, to be submitted with its key or sent as
// a keyless request.
func (w *ownerHarness) singleTaskJob(idempotent bool) model.JobSpec {
	spec := w.job(1)
	spec.Idempotent = idempotent
	return spec
}

// TestRetryUsesAnotherSidecar loses the connection of an idempotent request. The
// request is sent to another sidecar and marked as repeatable.
func TestRetryUsesAnotherSidecar(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1), target(2))
		answer := w.request(w.singleTaskJob(true))
		first := w.run()
		must.True(t, first.request.Repeatable)
		first.fail(wire.ErrOutcomeUnknown)
		second := w.run()
		must.NotEq(t, first.address, second.address)
		second.reply(doneReply(second, 200))
		answer.complete()
		must.EqOp(t, 1, w.counterValue(metrics.EntryRetries))
		must.EqOp(t, 0, w.owner.queue.Waiting())
	})
}

// TestRetryAtOnlySidecar checks that a request is retried at the same sidecar if
// there is no other.
func TestRetryAtOnlySidecar(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		answer := w.request(w.singleTaskJob(true))
		first := w.run()
		first.reply(doneReply(first, 500))
		second := w.run()
		second.reply(doneReply(second, 200))
		answer.complete()
	})
}

// TestNonRepeatableWorkIsNotRetried loses the connection of work that may start only
// once. The work fails and is not retried, and it is not hedged when it is late.
func TestNonRepeatableWorkIsNotRetried(t *testing.T) {
	cases := []struct {
		name string
		ask  func(w *ownerHarness) *pendingReply
	}{
		{"non-idempotent request", func(w *ownerHarness) *pendingReply { return w.request(w.singleTaskJob(false)) }},
		{"idempotent request with a key", func(w *ownerHarness) *pendingReply { return w.submit(w.singleTaskJob(true)) }},
		{"job", func(w *ownerHarness) *pendingReply { return w.submit(w.job(1)) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withOwner(t, func(w *ownerHarness) {
				w.report(target(1), target(2))
				answer := c.ask(w)
				run := w.run()
				must.False(t, run.request.Repeatable)
				w.advance(10*time.Second, target(1), target(2))
				w.runs(0)
				run.fail(wire.ErrOutcomeUnknown)
				answer.failed(model.CodeTaskUnknown, model.Unknown)
				w.advance(time.Second, target(1), target(2))
				w.runs(0)
			})
		})
	}
}

// TestRetryBudgetLimitsRetries fails every dispatch. The caller's budget limits the
// retries, and the budget of another caller is not affected.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1), target(2))
		floor := int(retry.DefaultFloorPerSecond * retry.DefaultWindow.Seconds())
		const requests = 20
		sent := 0
		for range requests {
			answer := w.request(w.singleTaskJob(true))
			sent += w.failAllRuns()
			answer.failed(model.CodeTaskUnknown, model.Unknown)
		}
		allowed := floor + int(retry.DefaultRatio*requests)
		must.EqOp(t, requests+allowed, sent)
		must.EqOp(t, int64(allowed), w.counterValue(metrics.EntryRetries))
		must.Positive(t, w.counterValue(metrics.EntryBudgetRefused))

		other := w.singleTaskJob(true)
		other.Key.Caller = "subscription-desk"
		w.request(other)
		must.EqOp(t, maxRequestRuns, w.failAllRuns())
	})
}

// failAllRuns fails every dispatch with an unknown outcome until there are no more,
// and returns their number.
func (w *ownerHarness) failAllRuns() int {
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

// TestHedge leaves an idempotent request unanswered. It is sent to a second sidecar
// too, the first complete answer wins, and the other dispatch is withdrawn.
func TestHedge(t *testing.T) {
	for _, winner := range []int{0, 1} {
		t.Run([]string{"first wins", "hedge wins"}[winner], func(t *testing.T) {
			withOwner(t, func(w *ownerHarness) {
				w.report(target(1), target(2))
				spec := w.singleTaskJob(true)
				spec.Tasks[0].DeclaredRun = time.Millisecond
				answer := w.request(spec)
				first := w.run()
				time.Sleep(minHedgeDelay - ownerTickInterval)
				w.runs(0)
				time.Sleep(3 * ownerTickInterval)
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
				w.advance(time.Second, target(1), target(2))
				w.runs(0)
				must.EqOp(t, 1, w.wasted())
				must.EqOp(t, 0, w.owner.inFlight)
			})
		})
	}
}

// TestNoHedge checks that a late request is not hedged without another open sidecar.
func TestNoHedge(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(w *ownerHarness) []wire.Target
	}{
		{"no other sidecar", func(w *ownerHarness) []wire.Target { return []wire.Target{target(1)} }},
		{"other sidecar closed", func(w *ownerHarness) []wire.Target {
			w.owner.post(bundleChangedEvent{model.Bundle{Version: 2, DrainedTargets: []string{"s2"}}})
			return []wire.Target{target(1), target(2)}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withOwner(t, func(w *ownerHarness) {
				reporting := c.prepare(w)
				w.report(reporting...)
				answer := w.request(w.singleTaskJob(true))
				run := w.run()
				w.advance(5*time.Second, reporting...)
				w.runs(0)
				run.reply(doneReply(run, 200))
				answer.complete()
			})
		})
	}
}

// TestNoHedgeWhileWorkIsQueued checks that a late request is not hedged while first
// dispatches are queued, although a sidecar has room.
func TestNoHedgeWhileWorkIsQueued(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		small, large := unequalTargets()
		third := target(3)
		third.MemoryBytes = smallMemory
		w.report(small, large, third)
		filled := w.fillLarge()
		w.submit(w.largeJob(1))
		w.request(w.singleTaskJob(true))
		w.run()
		w.advance(5*time.Second, small, large, third)
		w.runs(0)
		filled[0].reply(doneReply(filled[0], 200))
		w.run()
		w.advance(time.Second, small, large, third)
		must.True(t, w.run().request.Repeatable)
	})
}

// TestRetriedRequestCountsTowardsConcurrency checks that a request counts towards its
// caller's concurrency until it is answered, also after a failed dispatch.
func TestRetriedRequestCountsTowardsConcurrency(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.owner.post(bundleChangedEvent{model.Bundle{Version: 2, Callers: []model.Caller{{Name: testCaller, Concurrency: 1}}}})
		w.report(target(1), target(2))
		answer := w.request(w.singleTaskJob(true))
		w.run().fail(wire.ErrOutcomeUnknown)
		second := w.run()
		w.request(w.singleTaskJob(true)).refusal(model.CodeQuota, model.NotRun)
		second.reply(doneReply(second, 200))
		answer.complete()
		w.request(w.singleTaskJob(true))
		w.run()
	})
}

// TestHandBackDoesNotExcludeSidecar hands back the first dispatch of a request and
// loses the connection of the second one. The third dispatch goes to the sidecar
// that has only handed the request back, never to the one whose connection was lost.
func TestHandBackDoesNotExcludeSidecar(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1), target(2))
		for range 10 {
			answer := w.request(w.singleTaskJob(true))
			w.run().reply(notStartedReply(wire.ReasonQueueTimeout))
			lost := w.run()
			lost.fail(wire.ErrOutcomeUnknown)
			last := w.run()
			must.NotEq(t, lost.address, last.address)
			last.reply(doneReply(last, 200))
			answer.complete()
		}
	})
}

// TestQueuedWorkIsDispatchedBeforeHedge checks that a late request is not hedged
// while the only other sidecar is full, and that room that becomes free there is
// used for the queued task first.
func TestQueuedWorkIsDispatchedBeforeHedge(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		big := target(2)
		big.MemoryBytes = 1 << 30
		small := target(1)
		small.MemoryBytes = 1 << 20
		w.report(small)
		w.request(w.singleTaskJob(true))
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
		w.advance(5*time.Second, small, big)
		w.runs(0)
		filled[0].reply(doneReply(filled[0], 200))
		must.EqOp(t, waiting.Key, w.run().request.Ref.Key)
	})
}

// TestKeylessRequestRunsWithoutStore runs a keyless request while the table can't be
// reached, because it needs no claim.
func TestKeylessRequestRunsWithoutStore(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		w.table.setErrors(store.ErrUnavailable, nil, store.ErrUnavailable)
		w.submit(w.singleTaskJob(true)).refusal(model.CodeStoreUnavailable, model.NotRun)
		answer := w.request(w.singleTaskJob(true))
		run := w.run()
		run.reply(doneReply(run, 200))
		answer.complete()
		w.setAdmitting(false)
		w.request(w.singleTaskJob(true)).refusal(model.CodeStoreUnavailable, model.NotRun)
	})
}

// TestBudgetIsRemovedWithCaller checks that the budget of a caller is removed when
// the bundle no longer names the caller.
func TestBudgetIsRemovedWithCaller(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		w.request(w.singleTaskJob(true))
		must.MapLen(t, 1, w.owner.retryBudgets)
		w.owner.post(bundleChangedEvent{model.Bundle{Version: 2, Callers: []model.Caller{{Name: testCaller}}}})
		w.runs(1)
		must.MapLen(t, 1, w.owner.retryBudgets)
		w.owner.post(bundleChangedEvent{model.Bundle{Version: 3}})
		w.runs(0)
		must.MapLen(t, 0, w.owner.retryBudgets)
	})
}
