package heldjob

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// fixture is a Core with a clock, a manifest and connected sidecars. It collects the
// actions of the Core.
type fixture struct {
	t       *testing.T
	core    *Core
	now     time.Time
	waiter  uint64
	replies map[uint64]Answer
	starts  []StartTasks
	stops   []StopJob

	// Requests to the job store.
	creates  []CreateJob
	saves    []SaveJob
	endings  []EndJob
	abandons []AbandonCreate
}

func newFixture(t *testing.T, sidecars int) *fixture {
	t.Helper()
	f := &fixture{
		t: t, core: New("a", rand.New(rand.NewPCG(1, 2)), time.Unix(1000, 0)), now: time.Unix(1000, 0),
		replies: make(map[uint64]Answer),
	}
	f.core.SetSnapshot(manifest.Snapshot{Version: 1, Manifest: &manifest.Manifest{Version: 1, Routes: []manifest.Route{{
		Name: "r", Host: "h", Prefix: "/p/", Service: "desk", Attempts: 2, Stretch: 1.6, Objective: 60 * time.Millisecond,
	}}}})
	for i := range sidecars {
		f.connect(fmt.Sprintf("s%d", i))
	}
	return f
}

func (f *fixture) connect(name string) []session.Claim {
	claims, _ := f.core.BeginSession(f.now, name)
	f.core.Connected(name, "a", claims)
	f.core.Updated(f.now, name, f.state(10000))
	return claims
}

func (f *fixture) state(free int64) session.State {
	return session.State{
		Minion:          session.Minion{Service: "desk", Capacity: work.Resources{MilliCPU: 10000, MemMB: 1000}},
		Accepting:       true,
		Free:            work.Resources{MilliCPU: free, MemMB: 1000},
		Turnover:        200 * time.Millisecond,
		Pace:            1,
		LastStartNumber: 1 << 40,
	}
}

// submit submits a best-effort job whose tasks need 4000 milli-CPU each.
func (f *fixture) submit(id string, tasks int) uint64 {
	return f.submitWithTimeout(id, tasks, 10*time.Second)
}

// submitWithTimeout submits a best-effort job whose caller waits for the timeout.
func (f *fixture) submitWithTimeout(id string, tasks int, timeout time.Duration) uint64 {
	return f.submitTo("/p/", id, timeout, work.Step{
		Count: tasks, Need: work.Resources{MilliCPU: 4000, MemMB: 10}, Estimate: 200 * time.Millisecond,
	})
}

// submitTo submits a best-effort job of one step to the route with the prefix.
func (f *fixture) submitTo(prefix, id string, timeout time.Duration, step work.Step) uint64 {
	f.waiter++
	f.core.Submit(f.now, &Submission{
		Waiter: f.waiter, Host: "h", Path: prefix + id, CallerTimeout: timeout,
		Job: work.Job{ID: work.JobID(id), BestEffort: true, Steps: []work.Step{step}},
	})
	f.collect()
	return f.waiter
}

// checkPlaced checks that the sidecars and the jobs agree on which tasks are placed.
func (f *fixture) checkPlaced() {
	f.t.Helper()
	placed := 0
	for name, sidecar := range f.core.sidecars {
		for key, task := range sidecar.placed {
			must.MapContainsKey(f.t, f.core.jobs, key.Job)
			must.EqOp(f.t, name, task.sidecar)
		}
		must.EqOp(f.t, len(sidecar.placed), sidecar.candidate.Tasks)
		placed += len(sidecar.placed)
	}
	for _, job := range f.core.jobs {
		for _, task := range job.tasks.states {
			if task.phase == phaseSent || task.phase == phaseLost {
				must.MapContainsKey(f.t, f.core.sidecars, task.sidecar)
				must.MapContainsKey(f.t, f.core.sidecars[task.sidecar].placed, task.key)
				placed--
			}
		}
	}
	must.Zero(f.t, placed)
}

func (f *fixture) collect() {
	f.checkPlaced()
	for _, action := range f.core.TakeActions() {
		switch action := action.(type) {
		case Reply:
			f.replies[action.Waiter] = action.Answer
		case StartTasks:
			f.starts = append(f.starts, action)
		case StopJob:
			f.stops = append(f.stops, action)
		case CreateJob:
			f.creates = append(f.creates, action)
		case SaveJob:
			f.saves = append(f.saves, action)
		case EndJob:
			f.endings = append(f.endings, action)
		case AbandonCreate:
			f.abandons = append(f.abandons, action)
		}
	}
}

// replyToStarts answers all start requests with the refusal for each task. It returns
// the requests.
func (f *fixture) replyToStarts(refusal session.Refusal) []StartTasks {
	starts := f.starts
	f.starts = nil
	for _, start := range starts {
		reply := &session.StartReply{State: f.state(10000), Refusals: make([]session.Refusal, len(start.Request.Tasks))}
		for i := range reply.Refusals {
			reply.Refusals[i] = refusal
		}
		f.core.StartReplied(f.now, start.Sidecar, &start.Request, reply)
	}
	f.collect()
	return starts
}

func (f *fixture) endRuns(start StartTasks, end work.End) {
	for _, task := range start.Request.Tasks {
		f.core.RunEnded(f.now, start.Sidecar, session.Event{Task: task.Task, End: end})
	}
	f.collect()
}

func (f *fixture) tick(after time.Duration) {
	f.now = f.now.Add(after)
	f.core.Tick(f.now)
	f.collect()
}

// TestJobCompletes covers a job whose tasks all succeed at the first attempt.
func TestJobCompletes(t *testing.T) {
	f := newFixture(t, 2)
	waiter := f.submit("a", 3)
	for _, start := range f.replyToStarts(session.RefusedNone) {
		f.endRuns(start, work.EndDone)
	}
	must.EqOp(t, Completed, f.replies[waiter].Outcome)
	must.EqOp(t, 0, f.core.ActiveJobs())
}

// TestFullSystemRefusesImmediately covers a system without room in time: the job is
// refused immediately with a RetryAfter, and no task is started.
func TestFullSystemRefusesImmediately(t *testing.T) {
	f := newFixture(t, 1)
	state := f.state(0)
	state.Turnover = 2 * time.Second
	f.core.Updated(f.now, "s0", state)
	waiter := f.submit("a", 2)
	must.EqOp(t, Refused, f.replies[waiter].Outcome)
	must.EqOp(t, ReasonOverload, f.replies[waiter].Reason)
	must.Positive(t, f.replies[waiter].RetryAfter)
	must.Len(t, 0, f.starts)
}

// TestStartedJobIsGivenUpNotRefused covers a job of which a sidecar has accepted a
// task: after its deadline the answer is GivenUp, not Refused, since a task may have
// run.
func TestStartedJobIsGivenUpNotRefused(t *testing.T) {
	f := newFixture(t, 1)
	waiter := f.submit("a", 2)
	f.replyToStarts(session.RefusedNone)
	f.tick(11 * time.Second)
	must.EqOp(t, GivenUp, f.replies[waiter].Outcome)
	must.Len(t, 1, f.stops)
}

// TestUnansweredStartIsNotRefused covers a start request without a reply: the sidecar
// may have accepted it, so the job must not be answered Refused.
func TestUnansweredStartIsNotRefused(t *testing.T) {
	f := newFixture(t, 1)
	waiter := f.submit("a", 1)
	f.tick(11 * time.Second)
	must.EqOp(t, GivenUp, f.replies[waiter].Outcome)
}

// TestLostTaskIsPlacedAgainOnlyAfterRunExpiry covers a sidecar that loses its
// connection: its tasks run elsewhere only after RunExpiry, since before that their
// runs may still be active.
func TestLostTaskIsPlacedAgainOnlyAfterRunExpiry(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("a", 1)
	start := f.replyToStarts(session.RefusedNone)[0]
	f.core.Disconnected(start.Sidecar, f.now)
	f.tick(RunExpiry - time.Millisecond)
	must.Len(t, 0, f.starts)
	f.tick(2 * time.Millisecond)
	must.Len(t, 1, f.starts)
	must.NotEqOp(t, start.Sidecar, f.starts[0].Sidecar)
}

// TestLostTaskStaysWhileASessionIsOpening covers a sidecar that may have accepted the
// claims of a new session: its runs go on there, so RunExpiry counts from the failure
// to open the session.
func TestLostTaskStaysWhileASessionIsOpening(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("a", 1)
	start := f.replyToStarts(session.RefusedNone)[0]
	f.core.Disconnected(start.Sidecar, f.now)
	claims, _ := f.core.BeginSession(f.now, start.Sidecar)
	must.Len(t, 1, claims)
	f.tick(RunExpiry + time.Millisecond)
	must.Len(t, 0, f.starts)
	f.core.SessionFailed(start.Sidecar, f.now)
	f.tick(RunExpiry - time.Millisecond)
	must.Len(t, 0, f.starts)
	f.tick(2 * time.Millisecond)
	must.Len(t, 1, f.starts)
}

// TestJobDroppedWhileLostIsStopped covers a caller that disconnects while a sidecar is
// unreachable and a session is being opened with a claim for the job's run: once
// connected, the entry stops the run.
func TestJobDroppedWhileLostIsStopped(t *testing.T) {
	f := newFixture(t, 1)
	waiter := f.submit("a", 1)
	f.replyToStarts(session.RefusedNone)
	f.core.Disconnected("s0", f.now)
	claims, _ := f.core.BeginSession(f.now, "s0")
	f.core.CallerGone("a", waiter)
	f.core.Connected("s0", "a", claims)
	f.collect()
	must.Eq(t, []StopJob{{Sidecar: "s0", Job: "a"}}, f.stops)
}

// TestFailedTaskIsTriedAgainElsewhere covers a task that fails: it is started at
// another sidecar, and the job fails as soon as the last allowed attempt has failed.
func TestFailedTaskIsTriedAgainElsewhere(t *testing.T) {
	f := newFixture(t, 2)
	waiter := f.submit("a", 1)
	first := f.replyToStarts(session.RefusedNone)[0]
	f.endRuns(first, work.EndFailed)
	must.Len(t, 1, f.starts)
	must.NotEqOp(t, first.Sidecar, f.starts[0].Sidecar)
	f.endRuns(f.replyToStarts(session.RefusedNone)[0], work.EndFailed)
	must.EqOp(t, Failed, f.replies[waiter].Outcome)
}

// TestDuplicateSubmissionJoins covers a job that is submitted again while it is active:
// it runs once, and both callers get the answer.
func TestDuplicateSubmissionJoins(t *testing.T) {
	f := newFixture(t, 1)
	first := f.submit("a", 1)
	second := f.submit("a", 1)
	starts := f.replyToStarts(session.RefusedNone)
	must.Len(t, 1, starts)
	f.endRuns(starts[0], work.EndDone)
	must.EqOp(t, Completed, f.replies[first].Outcome)
	must.EqOp(t, Completed, f.replies[second].Outcome)
}

// TestCallerGoneStopsTheJob covers the only caller of a job closing its connection.
func TestCallerGoneStopsTheJob(t *testing.T) {
	f := newFixture(t, 1)
	waiter := f.submit("a", 1)
	f.replyToStarts(session.RefusedNone)
	f.core.CallerGone("a", waiter)
	f.collect()
	must.EqOp(t, 0, f.core.ActiveJobs())
	must.Len(t, 1, f.stops)
}

// TestNoManifest covers an entry that has no manifest yet, and a manifest without a
// matching route.
func TestNoManifest(t *testing.T) {
	f := newFixture(t, 1)
	f.core.SetSnapshot(manifest.Snapshot{})
	must.EqOp(t, ReasonNoManifest, f.replies[f.submit("a", 1)].Reason)
	f.core.SetSnapshot(manifest.Snapshot{Version: 2, Manifest: &manifest.Manifest{Version: 2}})
	must.EqOp(t, NoRoute, f.replies[f.submit("b", 1)].Outcome)
}

// TestJobThatCannotFinishIsRefused covers a job whose caller stops waiting before the
// job can end, as with a resubmission shortly before the caller's deadline.
func TestJobThatCannotFinishIsRefused(t *testing.T) {
	f := newFixture(t, 1)
	waiter := f.submitWithTimeout("a", 1, 70*time.Millisecond)
	must.EqOp(t, Refused, f.replies[waiter].Outcome)
	must.EqOp(t, ReasonTooLate, f.replies[waiter].Reason)
	must.Len(t, 0, f.starts)
}

// TestStartArrivingAfterStopIsStopped covers a start request that reaches the sidecar
// after the StopJob of its job, which was sent because the caller disconnected: the
// job is stopped again when the sidecar has accepted the task.
func TestStartArrivingAfterStopIsStopped(t *testing.T) {
	f := newFixture(t, 1)
	waiter := f.submit("a", 1)
	f.core.CallerGone("a", waiter)
	f.collect()
	must.Len(t, 1, f.stops)
	f.replyToStarts(session.RefusedNone)
	must.Len(t, 2, f.stops)
	must.EqOp(t, work.JobID("a"), f.stops[1].Job)
}

// TestLateStartReplyStopsNothing covers a reply to a start request that arrives after
// the end of the run, when the task may have been placed elsewhere: the other tasks of
// the job go on.
func TestLateStartReplyStopsNothing(t *testing.T) {
	for _, end := range []work.End{work.EndDone, work.EndFailed} {
		f := newFixture(t, 2)
		f.submit("a", 2)
		start := f.starts[0]
		f.core.RunEnded(f.now, start.Sidecar, session.Event{Number: 1, Task: start.Request.Tasks[0].Task, End: end})
		f.collect()
		f.replyToStarts(session.RefusedNone)
		must.Len(t, 0, f.stops)
	}
}

// TestJobOfSeveralTasksIsTrialOfSuspectMinion guards against a suspect minion that never gets
// a trial, because every job that needs it has several tasks: one of them has to be the
// trial task, and the others follow when it is done.
func TestJobOfSeveralTasksIsTrialOfSuspectMinion(t *testing.T) {
	f := newFixture(t, 1)
	suspect := f.state(10000)
	suspect.Suspect = true
	f.core.Updated(f.now, "s0", suspect)
	refused := f.submit("early", 2)
	must.EqOp(t, ReasonNoTargets, f.replies[refused].Reason)
	suspect.TrialDue = true
	f.core.Updated(f.now, "s0", suspect)
	waiter := f.submit("j", 2)
	must.MapNotContainsKey(t, f.replies, waiter)
	must.Len(t, 1, f.starts)
	must.Len(t, 1, f.starts[0].Request.Tasks)
	f.submit("next", 2)
	must.Len(t, 1, f.starts, must.Sprint("one trial at a time"))
	trial := f.replyToStarts(session.RefusedNone)[0]
	f.endRuns(trial, work.EndDone)
	f.tick(placementRetryInterval)
	must.Len(t, 1, f.starts)
	f.endRuns(f.replyToStarts(session.RefusedNone)[0], work.EndDone)
	must.EqOp(t, Completed, f.replies[waiter].Outcome)
}

// TestUnfitJobIsNoTrial guards against a job that is admitted as the trial of a suspect
// minion although its other tasks would find no place there either.
func TestUnfitJobIsNoTrial(t *testing.T) {
	f := newFixture(t, 1)
	suspect := f.state(10000)
	suspect.Suspect, suspect.TrialDue = true, true
	f.core.Updated(f.now, "s0", suspect)
	waiter := f.submitTo("/p/", "j", 10*time.Second, work.Step{
		Count: 2, MaxPerMinion: 1, Need: work.Resources{MilliCPU: 4000, MemMB: 10}, Estimate: 200 * time.Millisecond,
	})
	must.EqOp(t, ReasonNoTargets, f.replies[waiter].Reason)
	must.Len(t, 0, f.starts)
}
