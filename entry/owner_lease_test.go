package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

func (w *ownerHarness) expireLease() {
	w.members.set(func(m *fakeMembers) { m.leaseEnd = time.Now() })
}

func (w *ownerHarness) renewLease() {
	w.members.set(func(m *fakeMembers) { m.leaseEnd = time.Now().Add(longLease) })
}

// TestFailureWaitsForTheLease fails a job while the lease is over: another
// entry may be running it, so that nobody is told that it failed until the
// lease is valid again.
func TestFailureDeferredWithoutLease(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		spec := w.job(1)
		answer := w.submit(spec)
		run := w.run()
		w.expireLease()
		run.fail(wire.ErrOutcomeUnknown)
		answer.refusal(model.CodeTaskUnknown, model.Unknown)
		w.submit(spec).refusal(model.CodeInProgress, model.InProgress)
		w.renewLease()
		w.advance(100*time.Millisecond, target(1))
		w.submit(spec).failed(model.CodeTaskUnknown, model.Unknown)
		w.runs(0)
	})
}

// TestNotRunNeedsTheLease lets a queued job's timeout pass without a lease: it
// is not said to be not run.
func TestDeadlineWithoutLeaseIsUnknown(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		spec := w.job(1)
		spec.Timeout = time.Second
		answer := w.submit(spec)
		w.expireLease()
		w.advance(2 * time.Second)
		answer.refusal(model.CodeDeadline, model.Unknown)
	})
}

// TestCompletionNeedsNoLease completes a job while the lease is over: the
// results are facts.
func TestCompletionWithoutLease(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		answer := w.submit(w.job(1))
		run := w.run()
		w.expireLease()
		run.reply(doneReply(run, 200))
		answer.complete()
	})
}

// TestTakenOverFailureIsDropped never decides a postponed failure after the
// session was taken over.
func TestFenceDropsDeferredFailure(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		spec := w.job(1)
		w.submit(spec)
		run := w.run()
		w.expireLease()
		run.fail(wire.ErrOutcomeUnknown)
		w.owner.post(fencedEvent{})
		w.renewLease()
		w.advance(time.Second, target(1))
		record, _ := w.owner.keys.Lookup(spec.Key)
		must.Nil(t, record.Answer)
		w.submit(spec).refusal(model.CodeOwnerMoved, model.Unknown)
	})
}

// TestFenceSendsWaitersOn takes the session over while a job runs: those who
// wait are sent to the new owner.
func TestFenceRedirectsWaiters(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		answer := w.submit(w.job(1))
		run := w.run()
		w.owner.post(fencedEvent{})
		answer.refusal(model.CodeOwnerMoved, model.Unknown)
		run.reply(doneReply(run, 200))
		w.runs(0)
	})
}

// TestNothingIsSentWhileNotAdmitting keeps a queued task until the entry may
// start work again.
func TestNoDispatchWhileNotAdmitting(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		answer := w.submit(w.job(1))
		w.setAdmitting(false)
		w.report(target(1))
		w.runs(0)
		w.setAdmitting(true)
		w.report(target(1))
		run := w.run()
		run.reply(doneReply(run, 200))
		answer.complete()
	})
}
