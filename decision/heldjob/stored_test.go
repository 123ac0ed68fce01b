package heldjob

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// own makes the entry own its stored jobs for longer than any test takes.
func (f *fixture) own() { f.core.OwnUntil(f.now, f.now.Add(time.Hour)) }

// submitStored submits a job that has to be stored.
func (f *fixture) submitStored(id string, tasks int) uint64 {
	f.waiter++
	f.core.Submit(f.now, &Submission{
		Waiter: f.waiter, Host: "h", Path: "/p/" + id, CallerTimeout: time.Second,
		Job: work.Job{ID: work.JobID(id), Steps: []work.Step{storedStep(tasks)}},
	})
	f.collect()
	return f.waiter
}

func storedStep(tasks int) work.Step {
	return work.Step{Count: tasks, Need: work.Resources{MilliCPU: 4000, MemMB: 10}, Estimate: 200 * time.Millisecond}
}

// confirmCreates answers all CreateJob requests as written.
func (f *fixture) confirmCreates() {
	for _, create := range f.creates {
		f.core.Created(f.now, create.Job.ID, true, f.now)
	}
	f.creates = nil
	f.collect()
}

// answerWrites answers all SaveJob and EndJob requests.
func (f *fixture) answerWrites(written bool) {
	saves, endings := f.saves, f.endings
	f.saves, f.endings = nil, nil
	for _, save := range saves {
		f.core.Saved(save.Job, written)
	}
	for _, ending := range endings {
		f.core.Saved(ending.Job, written)
	}
	f.collect()
}

// endRunsNumbered reports the end of each task of a start request, in events numbered
// from number.
func (f *fixture) endRunsNumbered(start StartTasks, end work.End, number uint64) {
	for i, task := range start.Request.Tasks {
		f.core.RunEnded(f.now, start.Sidecar, session.Event{Number: number + uint64(i), Task: task.Task, End: end})
	}
	f.collect()
}

// TestJobIsAcceptedWhenStored covers a stored job without faults: it is accepted when
// it is stored and started after that. It is reported as completed when its outcome is
// stored, and only then are its events acknowledged.
func TestJobIsAcceptedWhenStored(t *testing.T) {
	f := newFixture(t, 1)
	f.own()
	waiter := f.submitStored("j", 2)
	must.Len(t, 1, f.creates)
	must.Len(t, 0, f.starts)
	must.MapNotContainsKey(t, f.replies, waiter)
	f.confirmCreates()
	must.EqOp(t, Accepted, f.replies[waiter].Outcome)
	start := f.replyToStarts(session.RefusedNone)[0]
	must.True(t, start.Request.Tasks[0].Stored)
	f.endRunsNumbered(start, work.EndDone, 1)
	must.EqOp(t, 0, f.core.AckedUpTo(start.Sidecar))
	_, _, open, _ := f.core.State(f.now, "j")
	must.True(t, open)
	for len(f.saves)+len(f.endings) > 0 {
		f.answerWrites(true)
	}
	must.EqOp(t, 2, f.core.AckedUpTo(start.Sidecar))
	answer, _, open, known := f.core.State(f.now, "j")
	must.True(t, known)
	must.False(t, open)
	must.EqOp(t, Completed, answer.Outcome)
}

// TestDuplicateStoredJob covers a job that is submitted again while it is being stored,
// while it runs and after its end: it is stored once, accepted before its end and
// answered Completed after it.
func TestDuplicateStoredJob(t *testing.T) {
	f := newFixture(t, 1)
	f.own()
	first, second := f.submitStored("j", 1), f.submitStored("j", 1)
	must.Len(t, 1, f.creates)
	f.confirmCreates()
	must.EqOp(t, Accepted, f.replies[first].Outcome)
	must.EqOp(t, Accepted, f.replies[second].Outcome)
	must.EqOp(t, Accepted, f.replies[f.submitStored("j", 1)].Outcome)
	f.endRunsNumbered(f.replyToStarts(session.RefusedNone)[0], work.EndDone, 1)
	f.answerWrites(true)
	must.EqOp(t, Completed, f.replies[f.submitStored("j", 1)].Outcome)
	must.Len(t, 0, f.creates)
}

// TestJobStoredByAnotherEntry covers a job that another entry has stored: it is
// accepted, but not run by this entry.
func TestJobStoredByAnotherEntry(t *testing.T) {
	f := newFixture(t, 1)
	f.own()
	waiter := f.submitStored("j", 1)
	f.core.Created(f.now, "j", false, f.now)
	f.collect()
	must.EqOp(t, Accepted, f.replies[waiter].Outcome)
	must.Len(t, 0, f.starts)
	must.Len(t, 0, f.core.StoredJobs())
}

// TestUnavailableStoreRefusesImmediately covers a job store that is known to be
// unavailable.
func TestUnavailableStoreRefusesImmediately(t *testing.T) {
	f := newFixture(t, 1)
	f.core.SetStoreUnavailable(true)
	answer := f.replies[f.submitStored("j", 1)]
	must.EqOp(t, Refused, answer.Outcome)
	must.EqOp(t, ReasonStoreUnavailable, answer.Reason)
	must.Positive(t, answer.RetryAfter)
	must.Len(t, 0, f.creates)
}

// TestSlowStore covers a job that is not stored before its caller's deadline. It is
// refused if the write was not sent. Otherwise the outcome is unknown and it is
// given up; a later submission is accepted once the write succeeds.
func TestSlowStore(t *testing.T) {
	f := newFixture(t, 1)
	waiter := f.submitStored("j", 1)
	f.tick(time.Second)
	must.Len(t, 1, f.abandons)
	f.core.CreateAbandoned("j", true)
	f.collect()
	must.EqOp(t, Refused, f.replies[waiter].Outcome)

	waiter = f.submitStored("k", 1)
	f.tick(time.Second)
	f.core.CreateAbandoned("k", false)
	f.collect()
	must.EqOp(t, GivenUp, f.replies[waiter].Outcome)
	again := f.submitStored("k", 1)
	must.Len(t, 2, f.creates)
	f.core.Created(f.now, "k", true, f.now)
	f.collect()
	must.EqOp(t, Accepted, f.replies[again].Outcome)
}

// TestNothingStartsWithoutOwnership covers an entry whose stored jobs may belong to
// another entry: it starts none of their tasks.
func TestNothingStartsWithoutOwnership(t *testing.T) {
	f := newFixture(t, 1)
	f.submitStored("j", 1)
	f.confirmCreates()
	f.tick(time.Second)
	must.Len(t, 0, f.starts)
	f.own()
	f.tick(time.Second)
	must.Len(t, 1, f.starts)
}

// TestRevokedOwnerReacquiresItsJobs covers an entry that got a new owner identity: it
// starts no task of a job before it has written the job again, and drops a job that
// another entry has taken over.
func TestRevokedOwnerReacquiresItsJobs(t *testing.T) {
	f := newFixture(t, 0)
	f.own()
	f.submitStored("j", 1)
	f.submitStored("k", 1)
	f.confirmCreates()
	f.core.ReacquireJobs()
	f.collect()
	must.Len(t, 2, f.saves)
	f.connect("s0")
	f.tick(time.Second)
	must.Len(t, 0, f.starts)
	f.saves = nil
	f.core.Saved("j", true)
	f.core.Saved("k", false)
	f.tick(time.Second)
	must.Len(t, 1, f.starts)
	must.EqOp(t, "j", string(f.starts[0].Job))
	must.Eq(t, []work.JobID{"j"}, f.core.StoredJobs())
}

// TestLostSidecarDelaysStoredTasks covers an unreachable sidecar: it may hold the end
// of a task. The task is not run again before the sidecar has reported the end or has
// certainly discarded it.
func TestLostSidecarDelaysStoredTasks(t *testing.T) {
	f := newFixture(t, 1)
	f.own()
	f.submitStored("j", 1)
	f.confirmCreates()
	start := f.replyToStarts(session.RefusedNone)[0]
	f.core.Disconnected(start.Sidecar, f.now)
	f.connect("other")
	f.tick(RunExpiry + time.Millisecond)
	must.Len(t, 0, f.starts)
	claims := f.connect(start.Sidecar)
	must.Len(t, 1, claims)
	must.True(t, claims[0].Stored)
	f.endRunsNumbered(start, work.EndDone, 1)
	must.Len(t, 1, f.endings)

	f.submitStored("k", 1)
	f.confirmCreates()
	start = f.replyToStarts(session.RefusedNone)[0]
	f.core.Disconnected(start.Sidecar, f.now)
	f.tick(RunExpiry + storedExpiryMargin + time.Millisecond)
	must.Len(t, 0, f.starts)
	f.answerWrites(true)
	f.tick(placementRetryInterval)
	must.Len(t, 1, f.starts)
}

// TestAddPartlyDoneStoredJob covers jobs that are taken over with tasks that are done
// or have failed before.
func TestAddPartlyDoneStoredJob(t *testing.T) {
	f := newFixture(t, 1)
	f.own()
	route := manifest.Route{Name: "r", Service: "desk", Attempts: 2}
	job := work.Job{ID: "j", Steps: []work.Step{storedStep(3)}}
	f.core.AddStoredJob(f.now, StoredJob{
		Job: job, Route: route, Accepted: f.now,
		Done:     func(_, index int) bool { return index == 0 },
		Failures: map[work.TaskKey]int{{Job: "j", Index: 1}: 1},
	})
	f.collect()
	placed := 0
	for _, start := range f.starts {
		placed += len(start.Request.Tasks)
	}
	must.EqOp(t, 2, placed)
	for i, start := range f.replyToStarts(session.RefusedNone) {
		f.endRunsNumbered(start, work.EndFailed, uint64(10*i+1))
	}
	must.Len(t, 1, f.endings)
	must.EqOp(t, Failed, f.endings[0].Outcome)

	all := StoredJob{Job: work.Job{ID: "k", Steps: []work.Step{storedStep(1)}}, Route: route, Done: func(int, int) bool { return true }}
	f.core.AddStoredJob(f.now, all)
	f.collect()
	must.EqOp(t, Completed, f.endings[1].Outcome)
}

// TestCancelIsAnsweredWhenStored covers the cancellation of a job at the entry that
// owns it: runs stop immediately, and the answer follows when the outcome is stored.
func TestCancelIsAnsweredWhenStored(t *testing.T) {
	f := newFixture(t, 1)
	f.own()
	f.submitStored("j", 1)
	f.confirmCreates()
	f.replyToStarts(session.RefusedNone)
	f.waiter++
	must.True(t, f.core.CancelStored("j", f.waiter))
	must.False(t, f.core.CancelStored("none", f.waiter))
	f.collect()
	must.Len(t, 1, f.stops)
	must.MapNotContainsKey(t, f.replies, f.waiter)
	f.answerWrites(true)
	must.EqOp(t, Cancelled, f.replies[f.waiter].Outcome)
}

// TestQueueOrder covers more jobs than there is room for: they are placed by priority,
// then by age.
func TestQueueOrder(t *testing.T) {
	f := newFixture(t, 1)
	for i, priority := range []int{1, 1, 0} {
		f.core.AddStoredJob(f.now, StoredJob{
			Job:   work.Job{ID: work.JobID(rune('a' + i)), Steps: []work.Step{storedStep(2)}},
			Route: manifest.Route{Name: "r", Service: "desk", Attempts: 1, Priority: priority},

			Accepted: f.now.Add(time.Duration(i) * time.Second),
		})
	}
	f.own()
	f.tick(time.Second)
	must.EqOp(t, "c", string(f.starts[0].Job))
}

// TestTaskEndStored covers the end of a task before and after it is written to the job
// store, and a job of another entry.
func TestTaskEndStored(t *testing.T) {
	f := newFixture(t, 2)
	f.own()
	next := storedStep(1)
	next.After = []int{0}
	f.addStoredSteps(storedStep(1), next)
	end := session.TaskEnd{Task: work.TaskKey{Job: "j"}, End: work.EndDone, Attempt: 1}
	own, stored, _ := f.core.TaskEndStored(end)
	must.True(t, own)
	must.False(t, stored)
	f.endRunsNumbered(f.replyToStarts(session.RefusedNone)[0], work.EndDone, 1)
	_, stored, _ = f.core.TaskEndStored(end)
	must.False(t, stored)
	f.answerWrites(true)
	_, stored, _ = f.core.TaskEndStored(end)
	must.True(t, stored)
	own, _, _ = f.core.TaskEndStored(session.TaskEnd{Task: work.TaskKey{Job: "none"}})
	must.False(t, own)
}

// TestCountedFailureIsStored covers a failed attempt before and after its count is written
// to the job store.
func TestCountedFailureIsStored(t *testing.T) {
	f := newFixture(t, 2)
	f.own()
	f.addStoredSteps(storedStep(1))
	first := f.replyToStarts(session.RefusedNone)[0]
	must.EqOp(t, 1, first.Request.Tasks[0].Attempt)
	end := session.TaskEnd{Task: work.TaskKey{Job: "j"}, End: work.EndFailed, Attempt: 1}
	f.endRunsNumbered(first, work.EndFailed, 1)
	_, stored, _ := f.core.TaskEndStored(end)
	must.False(t, stored)
	f.answerWrites(true)
	_, stored, _ = f.core.TaskEndStored(end)
	must.True(t, stored)
	must.EqOp(t, 2, f.replyToStarts(session.RefusedNone)[0].Request.Tasks[0].Attempt)
	end.Attempt = 2
	_, stored, _ = f.core.TaskEndStored(end)
	must.False(t, stored)
}

// TestActiveJobsCountsRunsAndWrites covers the count on which a planned stop waits: it
// contains stored jobs with active runs or writes, not those that wait for room.
func TestActiveJobsCountsRunsAndWrites(t *testing.T) {
	f := newFixture(t, 1)
	f.own()
	f.submitStored("j", 1)
	must.EqOp(t, 1, f.core.ActiveJobs())
	f.confirmCreates()
	start := f.replyToStarts(session.RefusedNone)[0]
	must.EqOp(t, 1, f.core.ActiveJobs())
	f.core.OwnUntil(f.now, time.Time{})
	f.submitStored("k", 1)
	f.confirmCreates()
	must.EqOp(t, 1, f.core.ActiveJobs())
	f.endRunsNumbered(start, work.EndDone, 1)
	must.EqOp(t, 1, f.core.ActiveJobs())
	f.answerWrites(true)
	must.EqOp(t, 0, f.core.ActiveJobs())
}

// TestJobInQueueIsPending guards against jobs that are not counted as pending because a
// sidecar has had a task of them in its queue and handed it back.
func TestJobInQueueIsPending(t *testing.T) {
	f := newFixture(t, 1)
	f.own()
	f.submitStored("j", 1)
	f.confirmCreates()
	accept := func(queued ...work.TaskKey) StartTasks {
		start := f.starts[0]
		f.starts = nil
		f.core.StartReplied(f.now, start.Sidecar, &start.Request, &session.StartReply{
			State: f.state(10000), Refusals: make([]session.Refusal, 1), Queued: queued,
		})
		return start
	}
	for range 3 {
		start := accept(f.starts[0].Request.Tasks[0].Task)
		f.tick(storedMaxQueueWait)
		must.EqOp(t, 1, f.core.PendingJobs(f.now, "r"))
		f.endRuns(start, work.EndNotRun)
		must.EqOp(t, 1, f.core.PendingJobs(f.now, "r"))
		_, begun, _, _ := f.core.State(f.now, "j")
		must.False(t, begun)
	}
	accept(f.starts[0].Request.Tasks[0].Task)
	f.tick(storedMaxQueueWait + handBackMargin)
	must.EqOp(t, 0, f.core.PendingJobs(f.now, "r"))
}

// TestRegainedOwnershipReconnectsBeforeRerun covers an entry that was cut off from the
// job store and a sidecar for a long time. When it regains its ownership it gives the
// sidecar reconnectTime to connect, since a task may have ended there.
func TestRegainedOwnershipReconnectsBeforeRerun(t *testing.T) {
	f := newFixture(t, 1)
	f.own()
	f.submitStored("j", 1)
	f.confirmCreates()
	start := f.replyToStarts(session.RefusedNone)[0]
	f.core.Disconnected(start.Sidecar, f.now)
	f.core.OwnUntil(f.now, time.Time{})
	f.connect("other")
	f.tick(time.Minute)
	f.own()
	f.tick(reconnectTime)
	must.Len(t, 0, f.starts)
	must.Len(t, 1, f.connect(start.Sidecar))
	f.endRunsNumbered(start, work.EndDone, 1)
	must.Len(t, 1, f.endings)
}

// TestReleasingEntryStoresNoJob guards against a new job that waits for a lease which is not
// renewed any more, and against one without an answer when the process exits.
func TestReleasingEntryStoresNoJob(t *testing.T) {
	f := newFixture(t, 1)
	f.own()
	f.submitStored("a", 1)
	must.Len(t, 1, f.creates)
	f.core.StopOwning()
	f.own()
	waiter := f.submitStored("b", 1)
	must.Len(t, 1, f.creates)
	must.EqOp(t, Refused, f.replies[waiter].Outcome)
	must.EqOp(t, ReasonDraining, f.replies[waiter].Reason)
	must.Positive(t, f.replies[waiter].RetryAfter)
	f.core.GiveUpAll(ReasonDraining)
	f.collect()
	must.Eq(t, []AbandonCreate{{Job: "a"}}, f.abandons)
	f.core.CreateAbandoned("a", true)
	f.collect()
	must.MapLen(t, 2, f.replies)
	for _, answer := range f.replies {
		must.EqOp(t, Refused, answer.Outcome)
	}
}

// TestExitingEntryAnswersAtOnce guards against jobs that get no answer, handed in after the
// entry has given up its jobs and before the process exits.
func TestExitingEntryAnswersAtOnce(t *testing.T) {
	f := newFixture(t, 1)
	f.own()
	storing := f.submitStored("storing", 1)
	f.core.GiveUpAll(ReasonDraining)
	f.collect()
	f.core.CreateAbandoned("storing", false)
	f.collect()
	must.EqOp(t, GivenUp, f.replies[storing].Outcome)
	for _, waiter := range []uint64{f.submit("new", 1), f.submitStored("new", 1)} {
		must.EqOp(t, Refused, f.replies[waiter].Outcome)
		must.EqOp(t, ReasonDraining, f.replies[waiter].Reason)
		must.Positive(t, f.replies[waiter].RetryAfter)
	}
	must.EqOp(t, GivenUp, f.replies[f.submitStored("storing", 1)].Outcome)
	must.Len(t, 0, f.starts)
	must.EqOp(t, 1, f.core.JobCount())
}

// TestPausedOwnerStartsNothing guards against tasks that start after the lease has run out:
// the entry was paused, and its newest renewal has not returned.
func TestPausedOwnerStartsNothing(t *testing.T) {
	f := newFixture(t, 1)
	until := f.now.Add(4 * time.Second)
	f.core.OwnUntil(f.now, until)
	f.submitStored("a", 1)
	f.now = until.Add(time.Millisecond)
	f.core.Updated(f.now, "s0", f.state(10000))
	f.confirmCreates()
	f.tick(time.Second)
	must.Len(t, 0, f.starts)
	f.own()
	f.tick(time.Second)
	must.Len(t, 1, f.starts)
}

// TestFailedRunsOfALostEntryAreCounted guards against a task that is started more often than
// its route allows: the sidecar tells the end of a later attempt than the one that was ordered,
// since an entry that was lost could not store the failed runs before it.
func TestFailedRunsOfALostEntryAreCounted(t *testing.T) {
	f := newFixture(t, 1)
	f.own()
	f.submitStored("j", 1)
	f.confirmCreates()
	start := f.replyToStarts(session.RefusedNone)[0]
	f.core.RunEnded(f.now, start.Sidecar, session.Event{Number: 1, Task: start.Request.Tasks[0].Task, End: work.EndFailed, Attempt: 2})
	f.collect()
	must.Len(t, 0, f.starts)
	must.Len(t, 1, f.endings)
	must.EqOp(t, Failed, f.endings[0].Outcome)
}

// TestBestEffortJobCountsItsOwnFailedRuns guards against a best-effort job that is given up early:
// a client has submitted it again, and its minion has seen later attempts of the first submission.
func TestBestEffortJobCountsItsOwnFailedRuns(t *testing.T) {
	f := newFixture(t, 2)
	waiter := f.submit("b", 1)
	start := f.replyToStarts(session.RefusedNone)[0]
	f.core.RunEnded(f.now, start.Sidecar, session.Event{Number: 1, Task: start.Request.Tasks[0].Task, End: work.EndFailed, Attempt: 2})
	f.collect()
	must.MapNotContainsKey(t, f.replies, waiter)
	must.Len(t, 1, f.starts)
}
