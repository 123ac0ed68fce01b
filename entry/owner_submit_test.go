package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// TestResubmissionJoins submits a key while its job runs and after it: nothing
// is started again, and everyone gets the same answer.
func TestResubmissionJoins(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		spec := w.job(1)
		first := w.submit(spec)
		second := w.submit(spec)
		run := w.run()
		first.open()
		second.open()
		run.reply(doneReply(run, 200))
		want := first.complete()
		must.Eq(t, want, second.complete())
		must.Eq(t, want, w.submit(spec).complete())
		w.runs(0)
	})
}

// TestSubmitVerdicts checks what is said of keys that must not run.
func TestSubmitVerdicts(t *testing.T) {
	cases := []struct {
		name    string
		spec    func(w *world) model.JobSpec
		code    model.Code
		outcome model.Outcome
	}{
		{"used for another body", func(w *world) model.JobSpec {
			spec := w.job(1)
			w.submit(spec)
			w.run()
			spec.Tasks[0].Payload = []byte("other")
			return spec
		}, model.CodeKeyConflict, model.NotRun},
		{"older than the retention", func(w *world) model.JobSpec {
			spec := w.job(1)
			spec.Key = w.key(model.Retention + time.Second)
			return spec
		}, model.CodeKeyExpired, model.Unknown},
		{"made in the future", func(w *world) model.JobSpec {
			spec := w.job(1)
			spec.Key = w.key(-model.KeySkew - time.Second)
			return spec
		}, model.CodeInvalid, model.NotRun},
		{"partition given away", func(w *world) model.JobSpec {
			spec := w.job(1)
			w.owner.Release(spec.Key.Partition())
			return spec
		}, model.CodeOwnerMoved, model.Unknown},
		{"session taken over", func(w *world) model.JobSpec {
			w.owner.post(fenced{})
			return w.job(1)
		}, model.CodeOwnerMoved, model.Unknown},
		{"nothing may be started", func(w *world) model.JobSpec {
			w.admit(false)
			return w.job(1)
		}, model.CodeStoreUnavailable, model.NotRun},
		{"nothing may be started and the lease is over", func(w *world) model.JobSpec {
			w.admit(false)
			w.members.set(func(m *fakeMembers) { m.leaseEnd = time.Now() })
			return w.job(1)
		}, model.CodeStoreUnavailable, model.Unknown},
		{"timeout already over", func(w *world) model.JobSpec {
			spec := w.job(1)
			spec.Timeout = 0
			return spec
		}, model.CodeUnrunnable, model.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.report(target(1))
				spec := c.spec(w)
				w.submit(spec).refusal(c.code, c.outcome)
				w.runs(0)
			})
		})
	}
}

// TestRefusedKeyStaysFree submits a key that was refused unrun once more.
func TestRefusedKeyStaysFree(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		spec := w.job(1)
		w.admit(false)
		w.submit(spec).refusal(model.CodeStoreUnavailable, model.NotRun)
		w.admit(true)
		again := w.submit(spec)
		run := w.run()
		run.reply(doneReply(run, 200))
		again.complete()
	})
}

// TestJoinUnknownKey asks for keys without a record: only the holder of the
// partition may say that there is no job.
func TestJoinUnknownKey(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(w *world)
		age     time.Duration
		code    model.Code
		outcome model.Outcome
	}{
		{"never accepted", func(*world) {}, 0, model.CodeNotFound, model.NotRun},
		{"lease over", func(w *world) {
			w.members.set(func(m *fakeMembers) { m.leaseEnd = time.Now() })
		}, 0, model.CodeNotFound, model.Unknown},
		{"partition not owned", func(w *world) {
			w.members.set(func(m *fakeMembers) { m.owns = false })
		}, 0, model.CodeOwnerMoved, model.Unknown},
		{"too old", func(*world) {}, model.Retention + time.Second, model.CodeKeyExpired, model.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				c.prepare(w)
				w.join(w.key(c.age), true).refusal(c.code, c.outcome)
			})
		})
	}
}

// TestStatusOfRunningJob asks without waiting: the job is in progress, never
// not run.
func TestStatusOfRunningJob(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		spec := w.job(1)
		w.submit(spec)
		w.run()
		w.join(spec.Key, false).refusal(model.CodeInProgress, model.InProgress)
	})
}

// TestHandBackGoesElsewhere hands a task back: it is sent again, to the other
// sidecar once the first can't take any, and only then.
func TestHandBackGoesElsewhere(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1), target(2))
		answer := w.submit(w.job(1))
		first := w.run()
		must.False(t, first.request.Repeatable)
		first.reply(backReply(wire.ReasonDraining))
		second := w.run()
		must.NotEq(t, first.address, second.address)
		second.reply(doneReply(second, 200))
		answer.complete()
	})
}

// TestUnknownEndIsFinal loses the connection of a job's task: the job fails,
// its other task is withdrawn, and nothing is started again.
func TestUnknownEndIsFinal(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1), target(2))
		answer := w.submit(w.job(2))
		runs := w.runs(2)
		runs[0].fail(wire.ErrOutcomeUnknown)
		answer.failed(model.CodeTaskUnknown, model.Unknown)
		withdrawn := w.pool.callArgs(wire.MethodWithdraw)
		must.Len(t, 1, withdrawn)
		must.Eq(t, []int{runs[1].request.Ref.Index}, withdrawn[0].(*wire.WithdrawRequest).Indexes)
		w.pass(time.Second, target(1), target(2))
		w.runs(0)
	})
}

// TestNotSentIsAProof fails a call before it left: the task goes elsewhere.
func TestNotSentIsAProof(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1), target(2))
		answer := w.submit(w.job(1))
		w.run().fail(wire.ErrNotSent)
		second := w.run()
		second.reply(doneReply(second, 200))
		answer.complete()
	})
}

// TestDeadline ends jobs by their timeout with what is known of them.
func TestDeadline(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		sent := w.submit(w.job(testSlots + 1))
		w.runs(testSlots + 1)
		waiting := w.submit(w.job(1))
		w.runs(0)
		w.pass(31*time.Second, target(1))
		sent.failed(model.CodeDeadline, model.Unknown)
		waiting.failed(model.CodeDeadline, model.NotRun)
	})
}

// TestCancel ends a queued and a running job for their caller.
func TestCancel(t *testing.T) {
	inWorld(t, func(w *world) {
		w.report(target(1))
		running, queued := w.job(testSlots+1), w.job(1)
		first := w.submit(running)
		w.runs(testSlots + 1)
		second := w.submit(queued)
		cancelQueued := w.await(func() wire.JobReply { return w.owner.Cancel(w.ctx, queued.Key) })
		cancelQueued.failed(model.CodeCancelled, model.NotRun)
		second.failed(model.CodeCancelled, model.NotRun)
		cancelRunning := w.await(func() wire.JobReply { return w.owner.Cancel(w.ctx, running.Key) })
		cancelRunning.failed(model.CodeCancelled, model.Unknown)
		first.failed(model.CodeCancelled, model.Unknown)
		must.Len(t, 1, w.pool.callArgs(wire.MethodWithdraw))
		w.runs(0)
	})
}
