package execution

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// claimOf is what an entry claims of a task that the fixture ordered.
func claimOf(task work.TaskKey) session.Claim {
	return session.Claim{Task: task, Need: work.Room{MilliCPU: 4000, MemMB: 10}, Estimate: 100 * time.Millisecond}
}

// hello opens a session anew, in the same life of the entry.
func (f *fixture) hello(after uint64, claims ...session.Claim) {
	f.request = 0
	f.core.Hello(f.now, HelloParams{Entry: testEntry, Boot: testBoot, Acks: Acks{Received: after, Processed: after}, Claims: claims})
}

// startTask orders a task and lets the minion start it.
func (f *fixture) startTask(task work.TaskKey) Start {
	f.t.Helper()
	must.Eq(f.t, []session.Refusal{session.RefusedNone}, f.order(task))
	start := f.starts()[0]
	f.core.StartAnswered(f.now, start, Started)
	return start
}

// silenceEntry lets the entry be silent for longer than it may.
func (f *fixture) silenceEntry() {
	f.now = f.now.Add(SilenceLimit + time.Millisecond)
	f.core.Tick(f.now)
	must.False(f.t, f.core.HasSession(testEntry))
}

// TestDoneTaskOutlivesASilence covers an entry that was not heard from for a
// moment, while a task of it had ended already: its next session learns of the
// end, and the task does not run again.
func TestDoneTaskOutlivesASilence(t *testing.T) {
	f := newFixture(t)
	start := f.startTask(key("a", 0))
	f.list(nil, []FinishedRun{{Sequence: 1, Task: start.Task, Number: 1, End: work.EndDone}})
	f.silenceEntry()
	f.hello(0, claimOf(start.Task))
	events := f.core.EventsFor(testEntry)
	must.Len(t, 1, events)
	must.EqOp(t, work.EndDone, events[0].End)
}

// TestEventNumbersRiseOverASilence covers an entry that has taken note of
// events before a silence: what is told after it has higher numbers, so that it
// is not taken for something noted.
func TestEventNumbersRiseOverASilence(t *testing.T) {
	f := newFixture(t)
	start := f.startTask(key("a", 0))
	f.list(nil, []FinishedRun{{Sequence: 1, Task: start.Task, Number: 1, End: work.EndDone}})
	noted := f.core.EventsFor(testEntry)[0].Number
	f.acknowledge(noted)
	f.startTask(key("b", 0))
	f.silenceEntry()
	f.now = f.now.Add(silentEntryRetention + time.Millisecond)
	f.core.Tick(f.now)
	f.hello(noted, claimOf(key("c", 0)))
	f.acknowledge(noted)
	events := f.core.EventsFor(testEntry)
	must.Len(t, 1, events)
	must.EqOp(t, key("c", 0), events[0].Task)
	must.EqOp(t, work.EndGone, events[0].End)
}

// TestNotedEventIsNotToldAgain covers an entry that has heard of an end, ordered
// the task again, and lost the session with the order: the end is not told as
// that of the new order.
func TestNotedEventIsNotToldAgain(t *testing.T) {
	f := newFixture(t)
	start := f.startTask(key("a", 0))
	f.list(nil, []FinishedRun{{Sequence: 1, Task: start.Task, Number: 1, End: work.EndFailed}})
	heard := f.core.EventsFor(testEntry)[0].Number
	f.hello(heard, claimOf(start.Task))
	events := f.core.EventsFor(testEntry)
	must.Len(t, 1, events)
	must.EqOp(t, work.EndGone, events[0].End)
	must.Greater(t, heard, events[0].Number)
}

// TestUnclaimedEventIsNotTold covers an entry that has given a task up during a
// silence and may order it again: the former run's end is not told any more.
func TestUnclaimedEventIsNotTold(t *testing.T) {
	f := newFixture(t)
	start := f.startTask(key("a", 0))
	f.list(nil, []FinishedRun{{Sequence: 1, Task: start.Task, Number: 1, End: work.EndStopped}})
	f.silenceEntry()
	f.hello(0)
	must.Len(t, 0, f.core.EventsFor(testEntry))
	must.EqOp(t, 1, f.core.AckedUpTo())
}

// TestSilentEntryGivesNoOrders covers an order on the session of an entry that
// was silent: it has to open a new session first.
func TestSilentEntryGivesNoOrders(t *testing.T) {
	f := newFixture(t)
	f.silenceEntry()
	must.Eq(t, []session.Refusal{session.RefusedStale}, f.order(key("a", 0)))
	f.hello(0)
	must.Eq(t, []session.Refusal{session.RefusedNone}, f.order(key("a", 0)))
}

// TestSilentEntryIsForgotten covers an entry that does not come back: the minion
// may forget what was kept for it.
func TestSilentEntryIsForgotten(t *testing.T) {
	f := newFixture(t)
	start := f.startTask(key("a", 0))
	f.list(nil, []FinishedRun{{Sequence: 1, Task: start.Task, Number: 1, End: work.EndDone}})
	f.silenceEntry()
	must.EqOp(t, 0, f.core.AckedUpTo())
	f.now = f.now.Add(silentEntryRetention + time.Millisecond)
	f.core.Tick(f.now)
	must.EqOp(t, 1, f.core.AckedUpTo())
}
