package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// TestResubmissionJoins resubmits a key while its job runs and after the job has
// ended. No task is dispatched again, and all submissions get the same answer.
func TestResubmissionJoins(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		spec := w.job(1)
		first := w.submit(spec)
		second := w.submit(spec)
		run := w.run()
		first.mustBePending()
		second.mustBePending()
		run.reply(doneReply(run, 200))
		want := first.complete()
		must.Eq(t, want, second.complete())
		must.Eq(t, want, w.submit(spec).complete())
		w.runs(0)
	})
}

// TestSubmitVerdicts checks the refusals of submissions that must not run.
func TestSubmitVerdicts(t *testing.T) {
	cases := []struct {
		name    string
		spec    func(w *ownerHarness) model.JobSpec
		code    model.Code
		outcome model.Outcome
	}{
		{"used with a different body", func(w *ownerHarness) model.JobSpec {
			spec := w.job(1)
			w.submit(spec)
			w.run()
			spec.Tasks[0].Payload = []byte("other")
			return spec
		}, model.CodeKeyConflict, model.NotRun},
		{"older than the retention", func(w *ownerHarness) model.JobSpec {
			spec := w.job(1)
			spec.Key = w.key(model.Retention + time.Second)
			return spec
		}, model.CodeKeyExpired, model.Unknown},
		{"created in the future", func(w *ownerHarness) model.JobSpec {
			spec := w.job(1)
			spec.Key = w.key(-model.KeySkew - time.Second)
			return spec
		}, model.CodeInvalid, model.NotRun},
		{"partition released", func(w *ownerHarness) model.JobSpec {
			spec := w.job(1)
			w.owner.Release(spec.Key.Partition())
			return spec
		}, model.CodeOwnerMoved, model.Unknown},
		{"session taken over", func(w *ownerHarness) model.JobSpec {
			w.owner.post(fencedEvent{})
			return w.job(1)
		}, model.CodeOwnerMoved, model.Unknown},
		{"no task may be started", func(w *ownerHarness) model.JobSpec {
			w.setAdmitting(false)
			return w.job(1)
		}, model.CodeStoreUnavailable, model.NotRun},
		{"no task may be started and the lease has expired", func(w *ownerHarness) model.JobSpec {
			w.setAdmitting(false)
			w.members.set(func(m *fakeMembers) { m.leaseEnd = time.Now() })
			return w.job(1)
		}, model.CodeStoreUnavailable, model.Unknown},
		{"timeout already passed", func(w *ownerHarness) model.JobSpec {
			spec := w.job(1)
			spec.Timeout = 0
			return spec
		}, model.CodeUnrunnable, model.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withOwner(t, func(w *ownerHarness) {
				w.report(target(1))
				spec := c.spec(w)
				w.submit(spec).refusal(c.code, c.outcome)
				w.runs(0)
			})
		})
	}
}

// TestRefusedKeyCanBeResubmitted resubmits a key that was refused as not run. The
// job runs then.
func TestRefusedKeyCanBeResubmitted(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		spec := w.job(1)
		w.setAdmitting(false)
		w.submit(spec).refusal(model.CodeStoreUnavailable, model.NotRun)
		w.setAdmitting(true)
		again := w.submit(spec)
		run := w.run()
		run.reply(doneReply(run, 200))
		again.complete()
	})
}

// TestJoinUnknownKey joins keys without a record. Only the owner of the partition,
// with a valid lease, may report that no job was accepted.
func TestJoinUnknownKey(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(w *ownerHarness)
		age     time.Duration
		code    model.Code
		outcome model.Outcome
	}{
		{"never accepted", func(*ownerHarness) {}, 0, model.CodeNotFound, model.NotRun},
		{"lease expired", func(w *ownerHarness) {
			w.members.set(func(m *fakeMembers) { m.leaseEnd = time.Now() })
		}, 0, model.CodeNotFound, model.Unknown},
		{"partition not owned", func(w *ownerHarness) {
			w.members.set(func(m *fakeMembers) { m.owns = false })
		}, 0, model.CodeOwnerMoved, model.Unknown},
		{"too old", func(*ownerHarness) {}, model.Retention + time.Second, model.CodeKeyExpired, model.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withOwner(t, func(w *ownerHarness) {
				c.prepare(w)
				w.join(w.key(c.age), true).refusal(c.code, c.outcome)
			})
		})
	}
}

// TestStatusOfRunningJob joins a running job without waiting. It is reported as in
// progress, never as not run.
func TestStatusOfRunningJob(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		spec := w.job(1)
		w.submit(spec)
		w.run()
		w.join(spec.Key, false).refusal(model.CodeInProgress, model.InProgress)
	})
}

// TestHandedBackTaskIsRedispatched hands back a task at a draining sidecar. The task
// is dispatched once more, to the other sidecar.
func TestHandedBackTaskIsRedispatched(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1), target(2))
		answer := w.submit(w.job(1))
		first := w.run()
		must.False(t, first.request.Repeatable)
		first.reply(notStartedReply(wire.ReasonDraining))
		second := w.run()
		must.NotEq(t, first.address, second.address)
		second.reply(doneReply(second, 200))
		answer.complete()
	})
}

// TestUnknownTaskOutcomeFailsJob loses the connection of one of a job's two tasks.
// The job fails, the other task is withdrawn, and no task is dispatched again.
func TestUnknownTaskOutcomeFailsJob(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1), target(2))
		answer := w.submit(w.job(2))
		runs := w.runs(2)
		runs[0].fail(wire.ErrOutcomeUnknown)
		answer.failed(model.CodeTaskUnknown, model.Unknown)
		withdrawn := w.pool.callArgs(wire.MethodWithdraw)
		must.Len(t, 1, withdrawn)
		must.Eq(t, []int{runs[1].request.Ref.Index}, withdrawn[0].(*wire.WithdrawRequest).Indexes)
		w.advance(time.Second, target(1), target(2))
		w.runs(0)
	})
}

// TestUnsentCallIsRedispatched fails a call that was not sent, which proves that the
// task was not started. The task is dispatched to another sidecar.
func TestUnsentCallIsRedispatched(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1), target(2))
		answer := w.submit(w.job(1))
		w.run().fail(wire.ErrNotSent)
		second := w.run()
		second.reply(doneReply(second, 200))
		answer.complete()
	})
}

// TestDeadline ends jobs by their timeout: a dispatched job with an unknown outcome
// and a queued job as not run.
func TestDeadline(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		sent := w.submit(w.job(testSlots + 1))
		w.runs(testSlots + 1)
		waiting := w.submit(w.job(1))
		w.runs(0)
		w.advance(31*time.Second, target(1))
		sent.failed(model.CodeDeadline, model.Unknown)
		waiting.failed(model.CodeDeadline, model.NotRun)
	})
}

// TestCancel cancels a queued job, which fails as not run, and a running job, which
// fails with an unknown outcome and is withdrawn.
func TestCancel(t *testing.T) {
	withOwner(t, func(w *ownerHarness) {
		w.report(target(1))
		running, queued := w.job(testSlots+1), w.job(1)
		first := w.submit(running)
		w.runs(testSlots + 1)
		second := w.submit(queued)
		cancelQueued := w.startCall(func() wire.JobReply { return w.owner.Cancel(w.ctx, queued.Key) })
		cancelQueued.failed(model.CodeCancelled, model.NotRun)
		second.failed(model.CodeCancelled, model.NotRun)
		cancelRunning := w.startCall(func() wire.JobReply { return w.owner.Cancel(w.ctx, running.Key) })
		cancelRunning.failed(model.CodeCancelled, model.Unknown)
		first.failed(model.CodeCancelled, model.Unknown)
		must.Len(t, 1, w.pool.callArgs(wire.MethodWithdraw))
		w.runs(0)
	})
}
