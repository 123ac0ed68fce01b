package execution

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// orderTrial orders a task that needs little of the minion, and returns the refusal.
func (f *fixture) orderTrial(job string) session.Refusal {
	f.request++
	return f.core.Order(f.now, testEntry, &session.StartRequest{
		Echo: session.StampOf(f.now), Number: f.request,
		Tasks: []session.StartTask{{Task: key(job, 0), Need: work.Resources{MilliCPU: 100}, Estimate: time.Minute, MaxWait: time.Second, ExpectedWait: time.Second}},
	})[0]
}

// makeSuspect makes the minion suspect, and returns the time at which it may have its first
// trial task.
func (f *fixture) makeSuspect() time.Time {
	f.t.Helper()
	for i := range 3 {
		f.core.health.RecordEnd(f.now, fmt.Sprint("failed", i), work.EndFailed, time.Millisecond, time.Millisecond)
	}
	must.True(f.t, f.core.health.Suspect())
	return f.now.Add(time.Second)
}

// TestLongTrialsAreJoinedByOthers guards against tasks that wait for a suspect minion, which
// is sound again, until its trial task ends, however long that takes.
func TestLongTrialsAreJoinedByOthers(t *testing.T) {
	f := newFixture(t)
	begin := f.makeSuspect()
	ordered := 0
	for _, tc := range []struct {
		after  time.Duration
		trials int
	}{{0, 1}, {1900 * time.Millisecond, 1}, {2 * time.Second, 2}, {3900 * time.Millisecond, 2}, {4 * time.Second, 4}, {6 * time.Second, 8}} {
		f.now = begin.Add(tc.after)
		for ordered < tc.trials {
			must.True(t, f.core.StateFor(testEntry, f.now).TrialDue)
			must.EqOp(t, session.RefusedNone, f.orderTrial(fmt.Sprint(ordered)))
			must.Len(t, 1, f.starts())
			ordered++
		}
		must.False(t, f.core.StateFor(testEntry, f.now).TrialDue)
		must.EqOp(t, session.RefusedSuspect, f.orderTrial("late"))
	}
}

// TestFailedTrialIsNotJoined guards against a minion that fails long tasks and gets more of
// them while others run on: each failure begins the wait anew.
func TestFailedTrialIsNotJoined(t *testing.T) {
	f := newFixture(t)
	f.now = f.makeSuspect()
	must.EqOp(t, session.RefusedNone, f.orderTrial("first"))
	f.now = f.now.Add(2 * time.Second)
	must.EqOp(t, session.RefusedNone, f.orderTrial("second"))
	f.core.StartAnswered(f.now, f.starts()[0], Started)
	f.list(nil, []FinishedRun{{Sequence: 1, Task: key("first", 0), Number: 1, End: work.EndFailed}})
	f.now = f.now.Add(1900 * time.Millisecond)
	must.EqOp(t, session.RefusedSuspect, f.orderTrial("third"))
	f.now = f.now.Add(100 * time.Millisecond)
	must.EqOp(t, session.RefusedNone, f.orderTrial("third"))
}

// TestLongRunPutsNoTrialOff guards against a minion that became suspect while a long run was
// in progress on it, and gets no trial task until that run ends.
func TestLongRunPutsNoTrialOff(t *testing.T) {
	f := newFixture(t)
	must.EqOp(t, session.RefusedNone, f.orderTrial("long"))
	begin := f.makeSuspect()
	f.now = begin
	must.EqOp(t, session.RefusedSuspect, f.orderTrial("trial"))
	f.now = begin.Add(time.Second)
	must.EqOp(t, session.RefusedNone, f.orderTrial("trial"))
}
