package execution

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/work"
)

// startAbove orders the attempt at a task of which the minion refuses the run numbers up to
// used, and returns the start that it accepts and the number of starts that were sent.
func (f *fixture) startAbove(task work.TaskKey, attempt, used int) (Start, int) {
	f.t.Helper()
	f.orderAttempt(task, attempt)
	for sent := 1; ; sent++ {
		starts := f.starts()
		must.Len(f.t, 1, starts)
		if starts[0].Number > used {
			f.core.StartAnswered(f.now, starts[0], Started)
			return starts[0], sent
		}
		f.core.StartAnswered(f.now, starts[0], StartNumberUsed)
	}
}

// TestOftenStoppedTaskStartsAgain guards against a task that a minion never starts again
// because many of its runs were stopped there, also by a sidecar that was restarted.
func TestOftenStoppedTaskStartsAgain(t *testing.T) {
	const (
		stops        = 100
		maxTries     = 16
		restartAfter = 60
	)
	f := newFixture(t)
	task := key("a", 0)
	used := firstRunNumber(2) - 1
	for sequence := range uint64(stops) {
		if sequence == restartAfter {
			f.restart()
			f.hello(0)
			f.list(nil, nil)
			f.starts()
		}
		start, sent := f.startAbove(task, 2, used)
		must.LessEq(t, maxTries, sent)
		must.EqOp(t, 2, attemptOf(start.Number))
		used = start.Number
		f.list(nil, []FinishedRun{{Sequence: sequence + 1, Task: task, Number: used, End: work.EndStopped}})
	}
}

// TestTaskStartsWhereLaterAttemptWasSeen guards against a task that a minion never starts
// again: it has seen a later attempt, of an entry that was lost before it could store the
// failed run before that, together with the minion that had it.
func TestTaskStartsWhereLaterAttemptWasSeen(t *testing.T) {
	const maxTries = 36
	f := newFixture(t)
	task := key("a", 0)
	seen := firstRunNumber(3)
	start, sent := f.startAbove(task, 1, seen)
	must.LessEq(t, maxTries, sent)
	must.EqOp(t, seen+1, start.Number)
	f.list(nil, []FinishedRun{{Sequence: 1, Task: task, Number: start.Number, End: work.EndStopped}})
	start, sent = f.startAbove(task, 1, start.Number)
	must.EqOp(t, 1, sent, must.Sprint("the numbers are remembered"))
	f.list(nil, []FinishedRun{{Sequence: 2, Task: task, Number: start.Number, End: work.EndFailed}})
	f.silenceEntry()
	must.EqOp(t, 3, f.core.Adopt(f.now, adoptRequest("a")).Ends[0].Attempt)
}

// TestRefusedNumbersEnd guards against a minion that refuses every run number and is called
// without end.
func TestRefusedNumbersEnd(t *testing.T) {
	const maxCalls = 200
	f := newFixture(t)
	f.orderAttempt(key("a", 0), 2)
	calls := 0
	for starts := f.starts(); len(starts) > 0; starts = f.starts() {
		calls++
		must.LessEq(t, maxCalls, calls)
		f.core.StartAnswered(f.now, starts[0], StartNumberUsed)
	}
	must.EqOp(t, work.EndNotRun, f.core.EventsFor(testEntry)[0].End)
}
