package heldjob

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// crashUnder crashes the minion of a start's sidecar right after the start.
func (f *fixture) crashUnder(start StartTasks, beside ...session.CrashedRun) {
	crash := &session.Crash{Runs: beside}
	for _, task := range start.Request.Tasks {
		crash.Runs = append(crash.Runs, session.CrashedRun{Task: task.Task, Route: task.Route, Age: 20 * time.Millisecond, Confirmed: true, Alone: task.Isolation == session.IsolationAlone})
	}
	f.core.MinionCrashed(f.now, start.Sidecar, crash)
	f.endRuns(start, work.EndCrashed)
}

// TestJobThatCrashesTwoMinionsFails checks that a task that crashes minions is started in
// isolation after the first crash, and that its job fails after the second.
func TestJobThatCrashesTwoMinionsFails(t *testing.T) {
	f := newFixture(t, 4)
	waiter := f.submit("deadly", 1)
	first := f.replyToStarts(session.RefusedNone)
	must.EqOp(t, session.IsolationNone, first[0].Request.Tasks[0].Isolation)
	f.crashUnder(first[0])
	second := f.replyToStarts(session.RefusedNone)
	must.NotEqOp(t, first[0].Sidecar, second[0].Sidecar)
	must.EqOp(t, session.IsolationSpaced, second[0].Request.Tasks[0].Isolation)
	f.crashUnder(second[0])
	must.Len(t, 0, f.starts)
	must.Eq(t, Answer{Outcome: Failed, Reason: ReasonPoison}, f.replies[waiter])
}

// TestResubmittedPoisonJobFailsAtOnce guards against starting a task again that is known
// to crash minions, at an entry that has heard of it only from sidecars.
func TestResubmittedPoisonJobFailsAtOnce(t *testing.T) {
	f := newFixture(t, 4)
	task := work.TaskKey{Job: "deadly"}
	for _, sidecar := range []string{"s0", "s1"} {
		f.core.MinionCrashed(f.now, sidecar, &session.Crash{Age: time.Second, Runs: []session.CrashedRun{{Task: task, Route: "r", Age: 15 * time.Millisecond, Confirmed: true}}})
	}
	waiter := f.submit("deadly", 1)
	must.Len(t, 0, f.starts)
	must.Eq(t, Answer{Outcome: Failed, Reason: ReasonPoison}, f.replies[waiter])
}

// TestTaskBesideDeadlyOneIsRunToItsEnd guards against innocent tasks that are given up
// with a deadly one that was started beside them.
func TestTaskBesideDeadlyOneIsRunToItsEnd(t *testing.T) {
	f := newFixture(t, 4)
	waiter := f.submit("innocent", 1)
	for range 3 {
		starts := f.replyToStarts(session.RefusedNone)
		must.Len(t, 1, starts)
		f.crashUnder(starts[0], session.CrashedRun{Task: work.TaskKey{Job: "deadly"}, Route: "r", Age: 15 * time.Millisecond, Confirmed: true})
	}
	last := f.replyToStarts(session.RefusedNone)
	must.EqOp(t, session.IsolationAlone, last[0].Request.Tasks[0].Isolation)
	f.endRuns(last[0], work.EndDone)
	must.EqOp(t, Completed, f.replies[waiter].Outcome)
}

// TestStoredJobKeepsCountOfCrashes checks that the number of crashes under the tasks of a
// stored job is saved with it and holds for the entry that takes the job over.
func TestStoredJobKeepsCountOfCrashes(t *testing.T) {
	f := newFixture(t, 4)
	task := work.TaskKey{Job: "stored"}
	f.own()
	stored := StoredJob{
		Job: work.Job{ID: task.Job, Steps: []work.Step{{
			Count: 1, Need: work.Resources{MilliCPU: 4000, MemMB: 10}, Estimate: 200 * time.Millisecond,
		}}},
		Route: f.core.snapshot.Manifest.Routes[0], Accepted: f.now,
	}
	f.core.AddStoredJob(f.now, stored)
	f.collect()
	f.crashUnder(f.replyToStarts(session.RefusedNone)[0])
	must.Len(t, 1, f.saves)
	must.Eq(t, map[work.TaskKey]int{task: 1}, f.saves[0].Progress.Crashes)

	next := newFixture(t, 4)
	next.own()
	stored.Crashes = map[work.TaskKey]int{task: 3}
	next.core.AddStoredJob(next.now, stored)
	next.collect()
	start := next.replyToStarts(session.RefusedNone)[0]
	must.EqOp(t, session.IsolationAlone, start.Request.Tasks[0].Isolation)
	next.crashUnder(start)
	must.Len(t, 0, next.starts)
	must.EqOp(t, Failed, next.endings[0].Outcome)
}

// confine makes the fixture's route confined for the sake of another one, and returns the
// sidecars that it gets.
func (f *fixture) confine(names []string) map[string]bool {
	f.core.snapshot.Manifest.Routes = append(f.core.snapshot.Manifest.Routes, manifest.Route{
		Name: "other", Host: "h", Prefix: "/o/", Service: "desk", Attempts: 2, Stretch: 1.6, Objective: 60 * time.Millisecond,
	})
	f.core.quarantine.RecordSubmission(f.now, "other", "desk")
	f.core.PoisonReported(f.now, names[0], &session.PoisonTask{Task: work.TaskKey{Job: "bad"}, Route: "r", Service: "desk"})
	return f.core.quarantine.ConfinedSidecars(f.now, names)
}

// TestConfinedRouteAndOthersAreKeptApart checks where tasks of a confined route and of
// others are placed.
func TestConfinedRouteAndOthersAreKeptApart(t *testing.T) {
	f := newFixture(t, 4)
	confined := f.confine([]string{"s0", "s1", "s2", "s3"})
	f.submit("a", 4)
	for _, start := range f.replyToStarts(session.RefusedNone) {
		must.True(t, confined[start.Sidecar])
	}
	f.submitTo("/o/", "b", 10*time.Second, work.Step{Count: 2, Need: work.Resources{MilliCPU: 4000, MemMB: 10}, Estimate: 200 * time.Millisecond})
	for _, start := range f.replyToStarts(session.RefusedNone) {
		must.False(t, confined[start.Sidecar])
	}
}

// TestSuspectWaitsWhileNewJobsOfItsRouteAreRefused guards against retries that take minion
// after minion from the other callers of a confined route, and against suspects that are
// given up with the deadly task beside them although there is room.
func TestSuspectWaitsWhileNewJobsOfItsRouteAreRefused(t *testing.T) {
	for _, full := range []bool{false, true} {
		f := newFixture(t, 8)
		names := []string{"s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7"}
		confined := f.confine(names)
		suspect := f.submit("suspect", 1)
		started := f.replyToStarts(session.RefusedNone)
		for name := range confined {
			state := f.state(10000)
			if full {
				state.Free, state.Turnover = work.Resources{}, time.Minute
			}
			f.core.Updated(f.now, name, state)
		}
		refused := f.submit("new", 1)
		f.replyToStarts(session.RefusedNone)
		must.EqOp(t, full, f.replies[refused].Outcome == Refused)
		for name := range confined {
			f.core.Updated(f.now, name, f.state(10000))
		}
		f.crashUnder(started[0], session.CrashedRun{Task: work.TaskKey{Job: "deadly"}, Route: "r", Age: 15 * time.Millisecond, Confirmed: true})
		if full {
			must.Len(t, 0, f.starts)
			f.core.Decisions()
			f.tick(500 * time.Millisecond)
			must.Len(t, 0, f.starts)
			must.SliceEmpty(t, f.core.Decisions(), must.Sprint("the wait is told once"))
			f.tick(600 * time.Millisecond)
		}
		again := f.replyToStarts(session.RefusedNone)
		must.Len(t, 1, again)
		f.endRuns(again[0], work.EndDone)
		must.EqOp(t, Completed, f.replies[suspect].Outcome)
	}
}

// TestJobThatNeedsAConfinedSidecarGetsIt guards against refusing callers of a route that is
// not confined, because the only minions that can run their tasks are left to one that is.
func TestJobThatNeedsAConfinedSidecarGetsIt(t *testing.T) {
	f := newFixture(t, 4)
	names := []string{"s0", "s1", "s2", "s3"}
	confined := f.confine(names)
	for _, name := range names {
		state := f.state(10000)
		if confined[name] {
			state.Minion.Labels = []string{"special"}
		}
		f.core.Updated(f.now, name, state)
	}
	f.submitTo("/o/", "b", 10*time.Second, work.Step{Count: 1, Label: "special", Need: work.Resources{MilliCPU: 4000, MemMB: 10}, Estimate: 200 * time.Millisecond})
	starts := f.replyToStarts(session.RefusedNone)
	must.Len(t, 1, starts)
	must.True(t, confined[starts[0].Sidecar])
}

// TestOnlySidecarIsNotConfined covers a service with a single sidecar.
func TestOnlySidecarIsNotConfined(t *testing.T) {
	f := newFixture(t, 1)
	f.confine([]string{"s0"})
	f.submit("a", 1)
	must.Len(t, 1, f.replyToStarts(session.RefusedNone))
}

// TestJobFailsWhenAnotherEntryHasFoundItsTaskToBePoison covers an entry that has sessions
// with other sidecars than the one that saw the crashes.
func TestJobFailsWhenAnotherEntryHasFoundItsTaskToBePoison(t *testing.T) {
	f := newFixture(t, 2)
	waiter := f.submit("deadly", 1)
	must.Len(t, 1, f.replyToStarts(session.RefusedNone))
	f.core.PoisonReported(f.now, "s0", &session.PoisonTask{Task: work.TaskKey{Job: "deadly"}, Route: "r", Service: "desk"})
	f.collect()
	must.Eq(t, Answer{Outcome: Failed, Reason: ReasonPoison}, f.replies[waiter])
	must.Len(t, 1, f.stops)
	proofs, _ := f.core.PoisonAfter(f.now, 0)
	must.SliceEmpty(t, proofs)
}

// TestConfinedJobGetsTheOnlyMinionThatFits guards against a job of a confined route that finds
// no place for as long as other jobs of the route crash minions, because the only minion
// with the label that it requires is not among those of confined routes.
func TestConfinedJobGetsTheOnlyMinionThatFits(t *testing.T) {
	names := []string{"s0", "s1", "s2", "s3"}
	f := newFixture(t, len(names))
	confined := f.confine(names)
	only := ""
	for _, name := range names {
		if !confined[name] {
			only = name
		}
	}
	state := f.state(10000)
	state.Minion.Labels = []string{"kind"}
	f.core.Updated(f.now, only, state)
	f.submitTo("/p/", "a", 10*time.Second, work.Step{
		Count: 2, Need: work.Resources{MilliCPU: 4000, MemMB: 10}, Estimate: 200 * time.Millisecond, Label: "kind",
	})
	starts := f.replyToStarts(session.RefusedNone)
	must.Len(t, 1, starts)
	must.EqOp(t, only, starts[0].Sidecar)
}
