package execution

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// endRunNumbered runs a task of a stored job, as the given attempt, to an end that its entry
// does not hear of, and keeps the entry in contact.
func (f *fixture) endRunNumbered(task work.TaskKey, attempt int, sequence uint64, end work.End) {
	f.t.Helper()
	must.EqOp(f.t, session.RefusedNone, f.orderIn(task, attempt, session.FirstEpoch))
	f.core.StartAnswered(f.now, f.starts()[0], Started)
	f.list(nil, []FinishedRun{{Sequence: sequence, Task: task, Number: firstRunNumber(attempt), End: end}})
}

// byAttempt sorts ends by attempt.
func byAttempt(ends []session.TaskEnd) []session.TaskEnd {
	slices.SortFunc(ends, func(a, b session.TaskEnd) int { return a.Attempt - b.Attempt })
	return ends
}

// failedThenDone are the ends of a task that has failed and was then done.
func failedThenDone(task work.TaskKey) []session.TaskEnd {
	return []session.TaskEnd{
		{Task: task, End: work.EndFailed, Attempt: 1, Epoch: session.FirstEpoch}, {Task: task, End: work.EndDone, Attempt: 2, Epoch: session.FirstEpoch},
	}
}

// TestEndOfAFailedRunDoesNotReplaceALaterOne guards against a task that runs again after its
// end was noted: it has failed and was then done on one minion, its entry is lost before it
// has stored either end, and the next one is told only of one.
func TestEndOfAFailedRunDoesNotReplaceALaterOne(t *testing.T) {
	const enough = 30 // The entry's ends are in a map, whose order is random.
	for range enough {
		f := newFixture(t)
		task := key("a", 0)
		f.endRunNumbered(task, 1, 1, work.EndFailed)
		f.endRunNumbered(task, 2, 2, work.EndDone)
		f.silenceEntry()
		must.EqOp(t, 0, f.core.AckedUpTo())
		must.Eq(t, failedThenDone(task), byAttempt(f.core.Adopt(f.now, adoptRequest("a")).Ends))
		must.Len(t, 2, f.core.OrphansToQuery(f.now.Add(orphanQueryDelay)))
		confirmed := adoptRequest()
		confirmed.SetReleased(failedThenDone(task)[1:], nil)
		confirmed.ConfirmedEnds = confirmed.StoredEnds
		f.core.Adopt(f.now, confirmed)
		must.EqOp(t, 0, f.core.AckedUpTo())
		confirmed.SetReleased(failedThenDone(task)[:1], nil)
		confirmed.ConfirmedEnds = confirmed.StoredEnds
		f.core.Adopt(f.now, confirmed)
		must.EqOp(t, 2, f.core.AckedUpTo())
	}
}

// TestEachEndOfATaskIsFoundAtRestart guards against the same where the sidecar is restarted
// and finds the ends in its minion's list.
func TestEachEndOfATaskIsFoundAtRestart(t *testing.T) {
	f := newFixture(t)
	f.restart()
	task := key("a", 0)
	f.list(nil, []FinishedRun{{Sequence: 1, Task: task, Number: 1, End: work.EndFailed}, {Sequence: 2, Task: task, Number: firstRunNumber(2), End: work.EndDone}})
	ends := byAttempt(f.core.Adopt(f.now, adoptRequest("a")).Ends)
	must.Len(t, 2, ends)
	must.EqOp(t, work.EndFailed, ends[0].End)
	must.EqOp(t, work.EndDone, ends[1].End)
	must.EqOp(t, 0, f.core.AckedUpTo())
}

// TestEarlierEndIsFoundBesideARun guards against the end of an earlier run that is let go of
// because the minion, which lists its ends in parts, has a further run of the task at work.
func TestEarlierEndIsFoundBesideARun(t *testing.T) {
	f := newFixture(t)
	f.restart()
	task, other := key("a", 0), key("b", 0)
	running := []RunningRun{{Task: task, Number: firstRunNumber(2)}}
	ends := []FinishedRun{{Sequence: 1, Task: other, Number: 1, End: work.EndDone}, {Sequence: 2, Task: task, Number: 1, End: work.EndFailed}}
	f.core.PollAnswered(f.now, Listing{Poll: f.core.NextPoll(), Fence: f.core.Fence(), Born: testBorn, Running: running, Finished: ends[:1], Truncated: true})
	f.list(running, ends)
	must.Eq(t, []session.TaskEnd{{Task: task, End: work.EndFailed, Attempt: 1}}, f.core.Adopt(f.now, adoptRequest("a")).Ends)
}

// TestAnswerToAnAttempt checks which of a task's ends answers an order or a claim, whatever
// the order in which they came.
func TestAnswerToAnAttempt(t *testing.T) {
	task := key("a", 0)
	saved := orphan{task: task, end: work.EndStopped, checkpoint: "c-1"}
	failed := func(attempt int) orphan { return orphan{task: task, end: work.EndFailed, attempt: attempt} }
	done := orphan{task: task, end: work.EndDone, attempt: 3}
	for _, tc := range []struct {
		kept    []orphan
		attempt int
		want    work.End
		number  int
	}{
		{nil, 1, 0, 0},
		{[]orphan{failed(1)}, 1, work.EndFailed, 1},
		{[]orphan{failed(1)}, 2, 0, 0},
		{[]orphan{failed(1), failed(2)}, 1, work.EndFailed, 2},
		{[]orphan{failed(2), failed(1)}, 2, work.EndFailed, 2},
		{[]orphan{failed(1), failed(2), done}, 3, work.EndDone, 3},
		{[]orphan{done, failed(2)}, 1, work.EndDone, 3},
		{[]orphan{done}, 0, work.EndDone, 3},
		{[]orphan{saved}, 0, work.EndStopped, 0},
		{[]orphan{saved, failed(1)}, 1, work.EndFailed, 1},
	} {
		c := New(1)
		for _, one := range tc.kept {
			c.keepOrphan(one)
		}
		answer := c.orphans.answerTo(task, tc.attempt)
		if tc.want == 0 {
			must.Nil(t, answer)
			continue
		}
		must.EqOp(t, tc.want, answer.end)
		must.EqOp(t, tc.number, answer.attempt)
	}
}

// TestCheckpointBesideAnEnd guards against saved work that is lost or replaced by older work
// because the task has an end too.
func TestCheckpointBesideAnEnd(t *testing.T) {
	task := key("a", 0)
	c := New(1)
	c.keepOrphan(orphan{task: task, end: work.EndStopped, checkpoint: "c-1"})
	c.keepOrphan(orphan{task: task, end: work.EndFailed, attempt: 1})
	must.Len(t, 1, c.orphans[task])
	must.EqOp(t, work.Checkpoint("c-1"), c.orphans[task][0].checkpoint)
	c.keepOrphan(orphan{task: task, end: work.EndStopped, checkpoint: "c-2"})
	must.EqOp(t, work.EndFailed, c.orphans.answerTo(task, 1).end)
	must.EqOp(t, work.Checkpoint("c-2"), c.orphans[task][1].checkpoint)
	c.keepOrphan(orphan{task: task, end: work.EndDone, attempt: 2})
	c.keepOrphan(orphan{task: task, end: work.EndStopped, checkpoint: "c-3"})
	must.Len(t, 2, c.orphans[task])
}
