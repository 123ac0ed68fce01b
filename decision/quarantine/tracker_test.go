package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

const service = "desk"

var start = time.Unix(1000, 0)

func key(job string) work.TaskKey { return work.TaskKey{Job: work.JobID(job)} }

// run returns a run that was started the age before a crash.
func run(job, route string, age time.Duration) session.CrashedRun {
	return session.CrashedRun{Task: key(job), Route: route, Age: age, Confirmed: true}
}

func crash(runs ...session.CrashedRun) *session.Crash { return &session.Crash{Runs: runs} }

// TestFirstCrashGivesNothingUp checks what a single crash leads to: young runs are started
// apart from now on, older ones like any others, and nothing is poison.
func TestFirstCrashGivesNothingUp(t *testing.T) {
	tracker := New()
	poison := tracker.RecordCrash(start, "s1", service, crash(run("young", "r", 20*time.Millisecond), run("old", "r", time.Second)))
	must.SliceEmpty(t, poison)
	must.EqOp(t, session.IsolationSpaced, tracker.Isolation(key("young")))
	must.EqOp(t, session.IsolationNone, tracker.Isolation(key("old")))
	must.EqOp(t, session.IsolationNone, tracker.Isolation(key("unknown")))
	must.True(t, tracker.CrashedLately(start, "s1"))
	must.False(t, tracker.CrashedLately(start.Add(evidenceTime+time.Second), "s1"))
}

// TestTaskThatCrashesTwoMinionsAtItsStartIsPoison covers both orders of the crashes, since
// an entry that has just started learns of them in any order.
func TestTaskThatCrashesTwoMinionsAtItsStartIsPoison(t *testing.T) {
	among := crash(run("deadly", "r", 15*time.Millisecond), run("beside", "r", 20*time.Millisecond), run("old", "q", time.Second))
	apart := crash(run("deadly", "r", 25*time.Millisecond), run("other", "q", 25*time.Millisecond+Spacing))
	for _, crashes := range [][]*session.Crash{{among, apart}, {apart, among}} {
		tracker := New()
		must.SliceEmpty(t, tracker.RecordCrash(start, "s1", service, crashes[0]))
		must.Eq(t, []work.TaskKey{key("deadly")}, tracker.RecordCrash(start, "s2", service, crashes[1]))
		must.True(t, tracker.Poison(key("deadly")))
		must.EqOp(t, 2, tracker.Crashes(key("deadly")))
		for _, innocent := range []string{"beside", "old", "other"} {
			must.False(t, tracker.Poison(key(innocent)))
		}
	}
}

// TestTasksBesideDeadlyOnesAreNeverPoison covers innocent tasks that are beside deadly ones
// in many crashes: as long as another job can have caused each of the crashes, and they
// were not alone, they are not given up.
func TestTasksBesideDeadlyOnesAreNeverPoison(t *testing.T) {
	tracker := New()
	for i := range 10 {
		deadly := fmt.Sprintf("deadly%d", i)
		poison := tracker.RecordCrash(start, "s1", service, crash(
			run(deadly, "r", 10*time.Millisecond), run("young", "r", 60*time.Millisecond), run("old", "r", time.Second),
		))
		must.SliceEmpty(t, poison)
	}
	must.False(t, tracker.Poison(key("young")))
	must.False(t, tracker.Poison(key("old")))
	must.EqOp(t, session.IsolationAlone, tracker.Isolation(key("old")))
}

// TestTaskThatCrashesLateIsFoundAlone covers a task that crashes minions long after its
// start: from the third crash on it runs alone, and is poison if that minion crashes too.
func TestTaskThatCrashesLateIsFoundAlone(t *testing.T) {
	tracker := New()
	late := run("late", "r", 700*time.Millisecond)
	for range aloneCrashes {
		must.EqOp(t, session.IsolationNone, tracker.Isolation(key("late")))
		must.SliceEmpty(t, tracker.RecordCrash(start, "s1", service, crash(late, run("beside", "r", 300*time.Millisecond))))
	}
	must.EqOp(t, session.IsolationAlone, tracker.Isolation(key("late")))
	late.Alone = true
	must.Eq(t, []work.TaskKey{key("late")}, tracker.RecordCrash(start, "s2", service, crash(late)))
}

// TestUnansweredStartsProveLittle guards against giving up a task whose starts did not reach
// the minions that had crashed: where a rack crashes, a task is easily sent from one dead
// minion to the next. Without any bound, a task would go on that crashes its minions before
// they answer.
func TestUnansweredStartsProveLittle(t *testing.T) {
	tracker := New()
	must.SliceEmpty(t, tracker.RecordCrash(start, "s0", service, crash(run("j", "r", 20*time.Millisecond))))
	unanswered := run("j", "r", 10*time.Millisecond)
	unanswered.Confirmed = false
	for range maxUnprovedCrashes - 2 {
		must.SliceEmpty(t, tracker.RecordCrash(start, "s1", service, crash(unanswered)))
		must.EqOp(t, 1, tracker.Crashes(key("j")))
		must.EqOp(t, session.IsolationSpaced, tracker.Isolation(key("j")))
	}
	must.SliceNotEmpty(t, tracker.RecordCrash(start, "s2", service, crash(unanswered)))
}

// TestStoredCrashesAreNotCountedTwice covers an entry that takes over a stored job and
// learns of the same crashes from the job store and from sidecars.
func TestStoredCrashesAreNotCountedTwice(t *testing.T) {
	old := &session.Crash{Age: 5 * time.Second, Runs: []session.CrashedRun{run("j", "r", time.Second)}}
	for _, reportedFirst := range []bool{true, false} {
		tracker := New()
		if reportedFirst {
			tracker.RecordCrash(start, "s1", service, old)
		}
		tracker.Restore(start, key("j"), "r", 2)
		if !reportedFirst {
			tracker.RecordCrash(start, "s1", service, old)
		}
		must.EqOp(t, 2, tracker.Crashes(key("j")))
		tracker.RecordCrash(start.Add(time.Second), "s2", service, crash(run("j", "r", time.Second)))
		must.EqOp(t, 3, tracker.Crashes(key("j")))
	}
}

// TestOldCrashesAreForgotten checks that the memory of a tracker is bounded in time and in
// the number of tasks.
func TestOldCrashesAreForgotten(t *testing.T) {
	tracker := New()
	tracker.RecordCrash(start, "s1", service, crash(run("j", "r", time.Second)))
	tracker.RecordCrash(start.Add(retention+time.Second), "s1", service, crash(run("k", "r", time.Second)))
	must.EqOp(t, 0, tracker.Crashes(key("j")))
	for i := range 2 * maxTasks {
		tracker.RecordCrash(start.Add(retention+time.Second), "s1", service, crash(run(fmt.Sprint(i), "r", time.Second)))
	}
	must.LessEq(t, maxTasks+1, len(tracker.tasks))
}
