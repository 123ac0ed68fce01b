package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/claims"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

// TestNothingStartsBeforeTheClaim holds the claim's write up: the task is sent
// only once the claim is known to be written.
func TestNothingStartsBeforeTheClaim(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		w.table.setErrors(nil, store.ErrUnknownOutcome, store.ErrUnavailable)
		answer := w.submit(w.job(1))
		w.runs(0)
		w.table.setErrors(nil, nil, nil)
		w.pass(time.Second, target(1))
		run := w.run()
		run.reply(doneReply(run, 200))
		answer.complete()
	})
}

// TestClaimNotWritten refuses a job whose claim provably was not written as not
// run, and lets the same key run afterwards.
func TestClaimNotWritten(t *testing.T) {
	inWorld(t, func(w *world) {
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

// TestClaimNotWrittenWithoutLease weakens the same refusal when the lease is
// over: whoever owns the partition by then may have run the key.
func TestClaimNotWrittenWithoutLease(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		w.members.set(func(m *fakeMembers) { m.leaseEnd = time.Now() })
		w.table.setErrors(store.ErrUnavailable, nil, nil)
		w.submit(w.job(1)).refusal(model.CodeStoreUnavailable, model.Unknown)
	})
}

// TestClaimUnknownThenWritten loses the reply to a claim for longer than
// callers wait. They are told that the outcome is unknown; the job runs once
// the claim is known, and a resubmission gets its answer.
func TestClaimUnknownThenWritten(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		spec := w.job(1)
		w.table.setErrors(nil, store.ErrUnknownOutcome, store.ErrUnavailable)
		answer := w.submit(spec)
		w.pass(claimPatience+500*time.Millisecond, target(1))
		answer.refusal(model.CodeStoreUnavailable, model.Unknown)
		w.runs(0)
		other := spec
		other.Tasks = []model.TaskSpec{{Class: "other"}}
		w.submit(other).refusal(model.CodeKeyConflict, model.NotRun)
		again := w.submit(spec)
		again.open()
		w.table.setErrors(nil, nil, nil)
		w.pass(time.Second, target(1))
		run := w.run()
		run.reply(doneReply(run, 200))
		again.complete()
	})
}

// TestClaimUnknownThenRefused finds out after the callers' patience that the
// session was taken over before the claim was written: nothing is started.
func TestClaimUnknownThenRefused(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		spec := w.job(1)
		w.table.setErrors(store.ErrUnknownOutcome, nil, store.ErrUnavailable)
		answer := w.submit(spec)
		w.pass(claimPatience+500*time.Millisecond, target(1))
		answer.refusal(model.CodeStoreUnavailable, model.Unknown)
		w.dropFence()
		w.table.setErrors(nil, nil, nil)
		w.pass(time.Second, target(1))
		w.runs(0)
		_, known := w.owner.keys.Lookup(spec.Key)
		must.False(t, known)
	})
}

// TestClaimFenced lets the session be taken over before the claim: the
// forwarder is sent to the new owner.
func TestClaimFenced(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		w.dropFence()
		answer := w.submit(w.job(1))
		w.pass(time.Second, target(1))
		answer.refusal(model.CodeOwnerMoved, model.Unknown)
		w.runs(0)
	})
}

// TestOrphanedClaim ends a job while its claim's outcome is unknown. A claim
// that turns out not to be written frees the key, one that is written keeps the
// job's answer; neither starts anything.
func TestOrphanedClaim(t *testing.T) {
	for _, written := range []bool{false, true} {
		t.Run(map[bool]string{false: "not written", true: "written"}[written], func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.report(target(1))
				spec := w.job(1)
				spec.Timeout = 2 * time.Second
				commitErr, replyErr := store.ErrUnknownOutcome, error(nil)
				if written {
					commitErr, replyErr = nil, store.ErrUnknownOutcome
				}
				w.table.setErrors(commitErr, replyErr, store.ErrUnavailable)
				answer := w.submit(spec)
				w.pass(2500*time.Millisecond, target(1))
				answer.failed(model.CodeDeadline, model.NotRun)
				if !written {
					w.dropFence()
				}
				w.table.setErrors(nil, nil, nil)
				w.pass(2*time.Second, target(1))
				w.runs(0)
				w.submit(spec).failed(model.CodeDeadline, model.NotRun)
			})
		})
	}
}

// TestOrphanedClaimWithoutLease ends such a job while the lease is over, so that
// its failure is postponed: the key stays taken for as long as its claim may
// exist.
func TestOrphanedClaimWithoutLease(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		spec := w.job(1)
		spec.Timeout = 2 * time.Second
		w.table.setErrors(nil, store.ErrUnknownOutcome, store.ErrUnavailable)
		answer := w.submit(spec)
		w.lapse()
		w.pass(claimPatience+500*time.Millisecond, target(1))
		answer.refusal(model.CodeDeadline, model.Unknown)
		w.submit(spec).refusal(model.CodeInProgress, model.InProgress)
		w.table.setErrors(nil, nil, nil)
		w.renewLease()
		w.pass(time.Second, target(1))
		w.submit(spec).failed(model.CodeDeadline, model.NotRun)
		w.runs(0)
	})
}

// TestAcquiredClaimIsNotNew submits a key whose claim another entry wrote.
func TestAcquiredClaimIsNotNew(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		spec := w.job(1)
		spec.Timeout = time.Second
		w.acquire(spec)
		w.submit(spec)
		w.runs(0)
	})
}

// acquire hands the partition of a job over with a claim of the job by
// testOther.
func (w *world) acquire(spec model.JobSpec) {
	stored := claims.Stored{Claim: claims.Claim{Key: spec.Key, Digest: spec.Digest(), Tasks: len(spec.Tasks)}, Claimer: testOther}
	w.owner.Acquire(spec.Key.Partition(), []claims.Stored{stored})
}
