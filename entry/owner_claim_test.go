package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/claims"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// TestNoDispatchBeforeClaimIsWritten leaves the outcome of the claim's write unknown
// for a time. The task is dispatched only once the claim is known to be written.
func TestNoDispatchBeforeClaimIsWritten(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		w.table.setErrors(nil, store.ErrUnknownOutcome, store.ErrUnavailable)
		answer := w.submit(w.job(1))
		w.runs(0)
		w.table.setErrors(nil, nil, nil)
		w.advance(time.Second, target(1))
		run := w.run()
		run.reply(doneReply(run, 200))
		answer.complete()
	})
}

// TestClaimNotWritten checks that a job whose claim is proved not written is refused
// as not run, and that the same key can run afterwards.
func TestClaimNotWritten(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		spec := w.job(1)
		w.table.setErrors(store.ErrUnavailable, nil, nil)
		refusal := w.submit(spec).refusal(model.CodeStoreUnavailable, model.NotRun)
		must.Positive(t, refusal.RetryAfter)
		w.runs(0)
		w.table.setErrors(nil, nil, nil)
		again := w.submit(spec)
		run := w.run()
		run.reply(doneReply(run, 200))
		again.complete()
	})
}

// TestClaimNotWrittenWithoutLease checks that the refusal has the outcome unknown
// after the lease has expired, because the next owner of the partition may have run
// the job.
func TestClaimNotWrittenWithoutLease(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		w.members.set(func(m *fakeMembers) { m.leaseEnd = time.Now() })
		w.table.setErrors(store.ErrUnavailable, nil, nil)
		w.submit(w.job(1)).refusal(model.CodeStoreUnavailable, model.Unknown)
	})
}

// TestClaimUnknownThenWritten leaves the outcome of a claim unknown for longer than
// claimTimeout. The caller is refused with an unknown outcome. The job runs once the
// claim is known to be written, and a resubmission gets its answer.
func TestClaimUnknownThenWritten(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		spec := w.job(1)
		w.table.setErrors(nil, store.ErrUnknownOutcome, store.ErrUnavailable)
		answer := w.submit(spec)
		w.advance(claimTimeout+500*time.Millisecond, target(1))
		answer.refusal(model.CodeStoreUnavailable, model.Unknown)
		w.runs(0)
		other := spec
		other.Tasks = []model.TaskSpec{{Class: "other"}}
		w.submit(other).refusal(model.CodeKeyConflict, model.NotRun)
		again := w.submit(spec)
		again.mustBePending()
		w.table.setErrors(nil, nil, nil)
		w.advance(time.Second, target(1))
		run := w.run()
		run.reply(doneReply(run, 200))
		again.complete()
	})
}

// TestClaimUnknownThenFenced finds out after claimTimeout that the session was taken
// over before the claim was written. No task is dispatched.
func TestClaimUnknownThenFenced(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		spec := w.job(1)
		w.table.setErrors(store.ErrUnknownOutcome, nil, store.ErrUnavailable)
		answer := w.submit(spec)
		w.advance(claimTimeout+500*time.Millisecond, target(1))
		answer.refusal(model.CodeStoreUnavailable, model.Unknown)
		w.deleteFence()
		w.table.setErrors(nil, nil, nil)
		w.advance(time.Second, target(1))
		w.runs(0)
		_, known := w.owner.keys.Lookup(spec.Key)
		must.False(t, known)
	})
}

// TestClaimFenced takes over the session before the claim is written. The submission
// is refused with CodeOwnerMoved, so that the forwarder asks the new owner.
func TestClaimFenced(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		w.deleteFence()
		answer := w.submit(w.job(1))
		w.advance(time.Second, target(1))
		answer.refusal(model.CodeOwnerMoved, model.Unknown)
		w.runs(0)
	})
}

// TestJobEndsWhileClaimIsUnknown ends a job by its timeout while the outcome of its
// claim is unknown. Whether the claim turns out written or not, no task is
// dispatched and a resubmission fails as not run.
func TestJobEndsWhileClaimIsUnknown(t *testing.T) {
	for _, written := range []bool{false, true} {
		t.Run(map[bool]string{false: "not written", true: "written"}[written], func(t *testing.T) {
			withOwner(t, func(w *ownerHarness) {
				w.report(target(1))
				spec := w.job(1)
				spec.Timeout = 2 * time.Second
				commitErr, replyErr := store.ErrUnknownOutcome, error(nil)
				if written {
					commitErr, replyErr = nil, store.ErrUnknownOutcome
				}
				w.table.setErrors(commitErr, replyErr, store.ErrUnavailable)
				answer := w.submit(spec)
				w.advance(2500*time.Millisecond, target(1))
				answer.failed(model.CodeDeadline, model.NotRun)
				if !written {
					w.deleteFence()
				}
				w.table.setErrors(nil, nil, nil)
				w.advance(2*time.Second, target(1))
				w.runs(0)
				w.submit(spec).failed(model.CodeDeadline, model.NotRun)
			})
		})
	}
}

// TestJobEndsWhileClaimIsUnknownWithoutLease ends a job by its timeout while the
// outcome of its claim is unknown and the lease has expired, so that its failure is
// deferred. The key stays in progress until the lease is valid again.
func TestJobEndsWhileClaimIsUnknownWithoutLease(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		spec := w.job(1)
		spec.Timeout = 2 * time.Second
		w.table.setErrors(nil, store.ErrUnknownOutcome, store.ErrUnavailable)
		answer := w.submit(spec)
		w.expireLease()
		w.advance(claimTimeout+500*time.Millisecond, target(1))
		answer.refusal(model.CodeDeadline, model.Unknown)
		w.submit(spec).refusal(model.CodeInProgress, model.InProgress)
		w.table.setErrors(nil, nil, nil)
		w.renewLease()
		w.advance(time.Second, target(1))
		w.submit(spec).failed(model.CodeDeadline, model.NotRun)
		w.runs(0)
	})
}

// TestAcquiredClaimIsNotNew submits a key whose claim another entry wrote. Without
// knowing what that entry started, the owner dispatches nothing.
func TestAcquiredClaimIsNotNew(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		spec := w.job(1)
		spec.Timeout = time.Second
		w.acquireWithClaim(spec)
		w.submit(spec)
		w.runs(0)
	})
}

// acquireWithClaim assigns the partition of a job to the owner, with a claim of the
// job by testOther.
func (w *ownerHarness) acquireWithClaim(spec model.JobSpec) {
	stored := claims.Stored{Claim: claims.Claim{Key: spec.Key, Digest: spec.Digest(), Tasks: len(spec.Tasks)}, Claimer: testOther}
	w.owner.Acquire(spec.Key.Partition(), []claims.Stored{stored})
}
