package execution

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/decision/quarantine"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// orderIsolated orders tasks that are to be started in isolation.
func (f *fixture) orderIsolated(isolation session.Isolation, tasks ...work.TaskKey) {
	f.request++
	// A later order is due later.
	f.now = f.now.Add(time.Millisecond)
	request := &session.StartRequest{Echo: session.StampOf(f.now), Number: f.request}
	for _, task := range tasks {
		request.Tasks = append(request.Tasks, session.StartTask{
			Task: task, Route: "r", Need: work.Resources{MilliCPU: 1000, MemMB: 10}, Isolation: isolation,
			Estimate: 100 * time.Millisecond, Slack: 500 * time.Millisecond, MaxWait: 5 * time.Second, ExpectedWait: 5 * time.Second,
		})
	}
	for _, refusal := range f.core.Order(f.now, testEntry, request) {
		must.EqOp(f.t, session.RefusedNone, refusal)
	}
}

// tick lets time pass in small steps, with contact to the entry, and returns the starts.
func (f *fixture) tick(length time.Duration) []Start {
	var starts []Start
	for until := f.now.Add(length); f.now.Before(until); {
		f.now = f.now.Add(5 * time.Millisecond)
		f.core.Echo(testEntry, session.StampOf(f.now))
		f.core.Tick(f.now)
		starts = append(starts, f.starts()...)
	}
	return starts
}

func startedTasks(starts []Start) []work.TaskKey {
	var tasks []work.TaskKey
	for _, start := range starts {
		tasks = append(tasks, start.Task)
	}
	return tasks
}

// TestSpacedTasksStartApart checks that nothing else is started shortly before and after a
// spaced start, and that the tasks of one job are started together.
func TestSpacedTasksStartApart(t *testing.T) {
	f := newFixture(t)
	f.orderIsolated(session.IsolationNone, key("before", 0))
	must.Len(t, 1, f.starts())
	f.orderIsolated(session.IsolationSpaced, key("a", 0), key("a", 1))
	f.orderIsolated(session.IsolationNone, key("after", 0))
	must.Positive(t, f.core.StateFor(testEntry, f.now).StartPause)
	must.Len(t, 0, f.tick(quarantine.Spacing-10*time.Millisecond))
	must.SliceContainsAll(t, startedTasks(f.tick(15*time.Millisecond)), []work.TaskKey{key("a", 0), key("a", 1)})
	must.Len(t, 0, f.tick(quarantine.Spacing-15*time.Millisecond))
	must.Eq(t, []work.TaskKey{key("after", 0)}, startedTasks(f.tick(20*time.Millisecond)))
	must.EqOp(t, 0, f.core.StateFor(testEntry, f.now.Add(time.Second)).StartPause)
}

// TestAloneTaskHasTheMinionForItself checks that a task that has to be alone waits for the
// end of all others, and that nothing is started until it has ended.
func TestAloneTaskHasTheMinionForItself(t *testing.T) {
	f := newFixture(t)
	f.orderIsolated(session.IsolationNone, key("before", 0))
	before := f.starts()[0]
	f.core.StartAnswered(f.now, before, Started)
	f.orderIsolated(session.IsolationAlone, key("a", 0))
	f.orderIsolated(session.IsolationNone, key("after", 0))
	must.Len(t, 0, f.tick(200*time.Millisecond))
	f.list(nil, []FinishedRun{{Sequence: 1, Task: before.Task, Number: 1, End: work.EndDone}})
	alone := f.starts()
	must.Eq(t, []work.TaskKey{key("a", 0)}, startedTasks(alone))
	f.core.StartAnswered(f.now, alone[0], Started)
	must.Len(t, 0, f.tick(200*time.Millisecond))
	f.list(nil, []FinishedRun{{Sequence: 2, Task: key("a", 0), Number: 1, End: work.EndDone}})
	must.Eq(t, []work.TaskKey{key("after", 0)}, startedTasks(f.starts()))
}

// TestTaskThatCannotGetAloneHoldsNothingUp covers a minion whose runs last longer than a
// task may wait to be alone.
func TestTaskThatCannotGetAloneHoldsNothingUp(t *testing.T) {
	f := newFixture(t)
	f.orderIsolated(session.IsolationNone, key("long", 0))
	must.Len(t, 1, f.starts())
	f.orderIsolated(session.IsolationAlone, key("a", 0))
	f.orderIsolated(session.IsolationNone, key("after", 0))
	must.Eq(t, []work.TaskKey{key("after", 0)}, startedTasks(f.tick(maxDrainForAlone+50*time.Millisecond)))
}

// TestEntriesLearnOfCrash checks what entries are told of a crash: every run that was in
// progress or may have been, once, also if the entry opens its session later.
func TestEntriesLearnOfCrash(t *testing.T) {
	f := newFixture(t)
	f.orderIsolated(session.IsolationNone, key("answered", 0), key("unanswered", 0))
	for _, start := range f.starts() {
		outcome := Started
		if start.Task == key("unanswered", 0) {
			outcome = StartUnanswered
		}
		f.core.StartAnswered(f.now, start, outcome)
	}
	f.now = f.now.Add(30 * time.Millisecond)
	for range 3 {
		f.core.PollFailed(f.now, true)
	}
	crashes := f.core.CrashesAfter(f.now.Add(time.Second), 0)
	must.Len(t, 1, crashes)
	must.EqOp(t, time.Second, crashes[0].Age)
	must.Len(t, 2, crashes[0].Runs)
	for _, run := range crashes[0].Runs {
		must.EqOp(t, "r", run.Route)
		must.EqOp(t, 30*time.Millisecond, run.Age)
	}
	must.Len(t, 0, f.core.CrashesAfter(f.now, crashes[0].Number))
	notified := map[string]bool{}
	for _, action := range f.core.TakeActions() {
		if notify, ok := action.(NotifyEntry); ok && notify.Event {
			notified[notify.Entry] = true
		}
	}
	must.True(t, notified[testEntry])
}

// TestRunOfEarlierProcessIsNotYoung guards against taking a run for the cause of a crash
// because the sidecar has only just found it at the minion.
func TestRunOfEarlierProcessIsNotYoung(t *testing.T) {
	f := &fixture{t: t, core: New(100), now: time.Unix(1000, 0)}
	f.core.Heartbeat(f.now, session.Minion{ID: "i-1", Born: testBorn, Capacity: work.Resources{MilliCPU: 10000, MemMB: 1000}}, false)
	f.list([]RunningRun{{Task: key("a", 0), Number: 1}}, nil)
	f.core.PollFailed(f.now, true)
	must.GreaterEq(t, foundRunAge, f.core.CrashesAfter(f.now, 0)[0].Runs[0].Age)
}

// TestMinionThatLeavesHasNotCrashed covers a minion that announced its end.
func TestMinionThatLeavesHasNotCrashed(t *testing.T) {
	f := newFixture(t)
	f.startTask(key("a", 0))
	f.core.Deregister(f.now)
	f.core.PollFailed(f.now, true)
	must.Len(t, 0, f.core.CrashesAfter(f.now, 0))
	must.EqOp(t, work.EndGone, f.onlyEvent().End)
}

// TestSilentMinionHasNotCrashedUnlessItsNextLifeIsSeen covers a minion that does not answer
// until its runs have lapsed. It may only have been slow: only the listing of another
// incarnation shows that it has crashed under them.
func TestSilentMinionHasNotCrashedUnlessItsNextLifeIsSeen(t *testing.T) {
	for _, born := range []int64{testBorn, testBorn + 1} {
		f := newFixture(t)
		f.startTask(key("a", 0))
		f.list([]RunningRun{{Task: key("a", 0), Number: 1}}, nil)
		f.now = f.now.Add(UnresponsiveAfter + time.Millisecond)
		f.core.PollFailed(f.now, false)
		f.core.LeaseLapsed(f.now)
		must.Len(t, 0, f.core.CrashesAfter(f.now, 0))
		f.core.PollAnswered(f.now, Listing{Poll: f.core.NextPoll(), Fence: f.core.Fence(), Born: born})
		crashes := f.core.CrashesAfter(f.now, 0)
		if born == testBorn {
			must.Len(t, 0, crashes)
			continue
		}
		must.Len(t, 1, crashes)
		must.EqOp(t, key("a", 0), crashes[0].Runs[0].Task)
	}
}

// TestQueueIsHandedBackWhenMinionCrashes guards against tasks that wait for a minion that
// is away for longer than they can wait.
func TestQueueIsHandedBackWhenMinionCrashes(t *testing.T) {
	f := newFixture(t)
	f.startTask(key("a", 0))
	f.order(key("b", 0), key("b", 1))
	f.core.PollFailed(f.now, true)
	ends := map[work.End]int{}
	for _, event := range f.core.EventsFor(testEntry) {
		ends[event.End]++
	}
	must.EqOp(t, 1, ends[work.EndNotRun])
}

// TestStartUnderWhichMinionCrashedIsNotSentAgain guards against a sidecar that starts a
// task on its own after the minion crashed before it answered the start.
func TestStartUnderWhichMinionCrashedIsNotSentAgain(t *testing.T) {
	f := newFixture(t)
	f.order(key("a", 0))
	f.core.StartAnswered(f.now, f.starts()[0], StartUnanswered)
	f.core.PollFailed(f.now, true)
	must.Len(t, 0, f.core.EventsFor(testEntry))
	f.core.Heartbeat(f.now, session.Minion{ID: "i-2", Service: "desk", Born: testBorn + 1, Capacity: work.Resources{MilliCPU: 10000, MemMB: 1000}}, false)
	f.core.PollAnswered(f.now, Listing{Poll: f.core.NextPoll(), Fence: f.core.Fence(), Born: testBorn + 1})
	must.Len(t, 0, f.starts())
	must.EqOp(t, work.EndCrashed, f.onlyEvent().End)
	must.EqOp(t, 10000, f.freeCPU())
}

// TestSidecarPassesPoisonTasksOn checks that what one entry has found is kept once, for
// every entry, with the crashes in one sequence of numbers.
func TestSidecarPassesPoisonTasksOn(t *testing.T) {
	f := newFixture(t)
	f.startTask(key("a", 0))
	f.core.PollFailed(f.now, true)
	found := session.PoisonTask{Task: key("a", 0), Route: "r", Service: "desk", Age: time.Second}
	f.core.RecordPoison(f.now, []session.PoisonTask{found})
	f.core.RecordPoison(f.now, []session.PoisonTask{found})
	passed := f.core.PoisonAfter(f.now.Add(time.Second), 0)
	must.Len(t, 1, passed)
	must.EqOp(t, 2*time.Second, passed[0].Age)
	must.Greater(t, f.core.CrashesAfter(f.now, 0)[0].Number, passed[0].Number)
	must.Len(t, 0, f.core.PoisonAfter(f.now, passed[0].Number))
	for i := range 2 * maxPoison {
		f.core.RecordPoison(f.now, []session.PoisonTask{{Task: key("b", i)}})
	}
	must.Len(t, maxPoison, f.core.PoisonAfter(f.now, 0))
}
