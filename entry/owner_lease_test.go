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

// TestFailureDeferredWithoutLease fails a job after the lease has expired. Another
// entry may be running the job, so the failure is not reported until the lease is
// valid again.
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

// TestDeadlineWithoutLeaseIsUnknown lets the timeout of a queued job pass after the
// lease has expired. The job must not be reported as not run.
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

// TestCompletionWithoutLease completes a job after the lease has expired. The answer
// is returned, because the tasks have run.
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

// TestFenceDropsDeferredFailure checks that a deferred failure is never recorded
// after the session was taken over.
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

// TestFenceRedirectsWaiters takes over the session while a job runs. The waiters are
// refused with CodeOwnerMoved, so that they ask the new owner.
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

// TestNoDispatchWhileNotAdmitting checks that a queued task waits until the entry
// may start tasks again.
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
