package heldjob

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// TestEndedJobIsDisownedAfterItsSidecarIsGone guards against a crash of the entry: the end
// of a job can't be stored, the sidecar with its run is lost for good meanwhile, and then
// another entry stores an end of the job first.
func TestEndedJobIsDisownedAfterItsSidecarIsGone(t *testing.T) {
	for _, notice := range []func(*fixture){
		func(f *fixture) { f.answerWrites(false) },
		func(f *fixture) { f.core.Disown("j") },
	} {
		f := newFixture(t, 1)
		f.own()
		f.submitStored("j", 2)
		f.confirmCreates()
		f.replyToStarts(session.RefusedNone)
		must.True(t, f.core.CancelStored("j", 99))
		f.collect()
		must.Len(t, 1, f.endings)
		f.core.Disconnected("s0", f.now)
		f.tick(RunExpiry + time.Millisecond)
		must.MapNotContainsKey(t, f.core.sidecars, "s0")
		notice(f)
		f.collect()
		must.Len(t, 0, f.core.StoredJobs())
		must.MapContainsKey(t, f.replies, 99)
	}
}

// TestEndOfCancelledJobIsAcknowledgedWhenStored guards against a task that runs again after
// its end was acknowledged: the entry is lost before it has stored that the job is
// cancelled, and another entry goes on with the job.
func TestEndOfCancelledJobIsAcknowledgedWhenStored(t *testing.T) {
	f := newFixture(t, 1)
	f.own()
	f.submitStored("j", 3)
	f.confirmCreates()
	starts := f.replyToStarts(session.RefusedNone)
	sidecar, tasks := starts[0].Sidecar, starts[0].Request.Tasks
	f.core.RunEnded(f.now, sidecar, session.Event{Number: 1, Task: tasks[0].Task, End: work.EndDone})
	f.collect()
	must.True(t, f.core.CancelStored("j", 99))
	f.core.RunEnded(f.now, sidecar, session.Event{Number: 2, Task: tasks[1].Task, End: work.EndDone})
	f.collect()
	must.EqOp(t, 0, f.core.AckedUpTo(sidecar))
	f.answerWrites(true)
	must.EqOp(t, 1, f.core.AckedUpTo(sidecar))
	must.Len(t, 1, f.endings)
	f.core.RunEnded(f.now, sidecar, session.Event{Number: 3, Task: work.TaskKey{Job: "j", Index: 2}, End: work.EndFailed})
	must.EqOp(t, 1, f.core.AckedUpTo(sidecar))
	f.answerWrites(true)
	must.EqOp(t, 3, f.core.AckedUpTo(sidecar))
}

// TestJobThatCannotBeStoredIsRefused guards against a caller that waits in vain: the job
// store never accepts the job, and will not at a further attempt.
func TestJobThatCannotBeStoredIsRefused(t *testing.T) {
	f := newFixture(t, 1)
	waiter := f.submitStored("j", 1)
	f.core.CreateRejected("j")
	f.collect()
	must.Eq(t, Answer{Outcome: Refused, Reason: ReasonNotStorable}, f.replies[waiter])
	must.Zero(t, f.core.JobCount())
}

// TestJobWhoseProgressIsRejectedFailsAlone guards against ends that are never acknowledged
// and so hold back those of all other jobs.
func TestJobWhoseProgressIsRejectedFailsAlone(t *testing.T) {
	f := newFixture(t, 1)
	f.own()
	f.submitStored("j", 2)
	f.confirmCreates()
	start := f.replyToStarts(session.RefusedNone)[0]
	f.core.RunEnded(f.now, start.Sidecar, session.Event{Number: 1, Task: start.Request.Tasks[0].Task, End: work.EndDone})
	f.collect()
	must.Len(t, 1, f.saves)
	f.saves = nil
	f.core.SaveRejected("j")
	f.collect()
	must.Len(t, 1, f.endings)
	must.EqOp(t, Failed, f.endings[0].Outcome)
	must.EqOp(t, 0, f.core.AckedUpTo(start.Sidecar))
	f.answerWrites(true)
	must.EqOp(t, 1, f.core.AckedUpTo(start.Sidecar))
	must.Zero(t, f.core.JobCount())
}

// TestStoredJobStartedAfterItsStopIsStoppedAgain guards against a task that goes on after its
// job was cancelled: the StopJob overtakes the start request, and the cancelling is not
// stored yet when the sidecar accepts the task.
func TestStoredJobStartedAfterItsStopIsStoppedAgain(t *testing.T) {
	f := newFixture(t, 1)
	f.own()
	f.submitStored("j", 1)
	f.confirmCreates()
	must.True(t, f.core.CancelStored("j", 99))
	f.collect()
	must.Eq(t, []StopJob{{Sidecar: "s0", Job: "j", UpTo: 1}}, f.stops)
	f.replyToStarts(session.RefusedNone)
	must.Len(t, 2, f.stops)
}

// runThreeTasks returns a fixture with a stored job of three tasks at one sidecar, and the
// start request.
func runThreeTasks(t *testing.T) (*fixture, StartTasks) {
	t.Helper()
	f := newFixture(t, 1)
	f.own()
	f.submitStored("j", 3)
	f.confirmCreates()
	return f, f.replyToStarts(session.RefusedNone)[0]
}

// TestEndsOfDisownedJobAreLeftUnstored guards against a task that runs again after its end
// was acknowledged: another entry takes the job over before this one has stored the end. One
// that arrives later is not stored either.
func TestEndsOfDisownedJobAreLeftUnstored(t *testing.T) {
	f, start := runThreeTasks(t)
	tasks := start.Request.Tasks
	f.core.RunEnded(f.now, start.Sidecar, session.Event{Number: 1, Task: tasks[0].Task, End: work.EndDone})
	f.collect()
	f.answerWrites(true)
	f.core.RunEnded(f.now, start.Sidecar, session.Event{Number: 2, Task: tasks[1].Task, End: work.EndDone})
	f.collect()
	must.EqOp(t, 1, f.core.AckedUpTo(start.Sidecar))
	f.answerWrites(false)
	f.core.RunEnded(f.now, start.Sidecar, session.Event{Number: 3, Task: work.TaskKey{Job: "j", Index: 2}, End: work.EndFailed})
	f.core.RunEnded(f.now, start.Sidecar, session.Event{Number: 4, Task: work.TaskKey{Job: "j", Index: 2}, End: work.EndStopped})
	must.EqOp(t, 4, f.core.AckedUpTo(start.Sidecar))
	must.Eq(t, []uint64{2, 3}, f.core.TakeUnstored(start.Sidecar))
	must.Len(t, 0, f.core.TakeUnstored(start.Sidecar))
}

// TestStoredEndsAreKnownAfterRestart guards against a sidecar that is restarted before it has
// let its minion forget an end, and lets the lease lapse though the end is stored; and
// against an end that is confirmed before it is stored.
func TestStoredEndsAreKnownAfterRestart(t *testing.T) {
	f := newFixture(t, 1)
	f.own()
	f.submitStored("j", 1)
	f.confirmCreates()
	f.endRunsNumbered(f.replyToStarts(session.RefusedNone)[0], work.EndFailed, 1)
	f.core.SidecarRestarted("s0")
	must.Len(t, 0, f.core.StoredEnds("s0"))
	f.answerWrites(true)
	must.Eq(t, []session.TaskEnd{{Task: work.TaskKey{Job: "j"}, End: work.EndFailed, Attempt: 1, Epoch: session.FirstEpoch}}, f.core.StoredEnds("s0"))
	f.now = f.now.Add(toldEndRetention + time.Millisecond)
	f.endRunsNumbered(f.replyToStarts(session.RefusedNone)[0], work.EndFailed, 1)
	f.answerWrites(true)
	must.Len(t, 1, f.core.StoredEnds("s0"))
	must.EqOp(t, 2, f.core.StoredEnds("s0")[0].Attempt)
}

// TestEndsOfAJobThatEndedElsewhereAreAcknowledged guards against a lapse of the lease, which
// ends all runs of a minion, for the ends of a job that another entry has cancelled: its owner
// was told and starts nothing more, so that nobody needs them.
func TestEndsOfAJobThatEndedElsewhereAreAcknowledged(t *testing.T) {
	f, start := runThreeTasks(t)
	tasks := start.Request.Tasks
	f.core.RunEnded(f.now, start.Sidecar, session.Event{Number: 1, Task: tasks[0].Task, End: work.EndDone})
	f.core.RunEnded(f.now, start.Sidecar, session.Event{Number: 2, Task: tasks[1].Task, End: work.EndFailed})
	f.core.EndedElsewhere("j")
	f.collect()
	must.Len(t, 0, f.core.StoredJobs())
	must.Len(t, 1, f.stops)
	f.core.RunEnded(f.now, start.Sidecar, session.Event{Number: 3, Task: work.TaskKey{Job: "j", Index: 2}, End: work.EndDone})
	must.EqOp(t, 3, f.core.AckedUpTo(start.Sidecar))
	must.Len(t, 0, f.core.TakeUnstored(start.Sidecar))
	answer, _, open, known := f.core.State(f.now, "j")
	must.True(t, known)
	must.False(t, open)
	must.EqOp(t, Cancelled, answer.Outcome)
}
