package execution

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// claimOf returns an entry's claim of a task that the fixture ordered.
func claimOf(task work.TaskKey) session.Claim {
	return session.Claim{Task: task, Need: work.Resources{MilliCPU: 4000, MemMB: 10}, Estimate: 100 * time.Millisecond}
}

// hello opens a new session for the same process of the entry.
func (f *fixture) hello(after uint64, claims ...session.Claim) {
	f.request = 0
	f.core.Hello(f.now, HelloParams{Entry: testEntry, Boot: testBoot, Acked: Acks{Received: after, Processed: after}, Claims: claims})
}

// startTask orders a task and lets the minion start it.
func (f *fixture) startTask(task work.TaskKey) Start {
	f.t.Helper()
	must.Eq(f.t, []session.Refusal{session.RefusedNone}, f.order(task))
	start := f.starts()[0]
	f.core.StartAnswered(f.now, start, Started)
	return start
}

// silenceEntry makes the entry silent for longer than SilenceLimit.
func (f *fixture) silenceEntry() {
	f.now = f.now.Add(SilenceLimit + time.Millisecond)
	f.core.Tick(f.now)
	must.False(f.t, f.core.HasSession(testEntry))
}

// TestEndIsReportedAfterSilence covers an entry that is not received from for a
// moment after one of its tasks has ended. Its next session gets the end, and
// the task does not run again.
func TestEndIsReportedAfterSilence(t *testing.T) {
	f := newFixture(t)
	start := f.startTask(key("a", 0))
	f.list(nil, []FinishedRun{{Sequence: 1, Task: start.Task, Number: 1, End: work.EndDone}})
	f.silenceEntry()
	f.hello(0, claimOf(start.Task))
	events := f.core.EventsFor(testEntry)
	must.Len(t, 1, events)
	must.EqOp(t, work.EndDone, events[0].End)
}

// TestEventNumbersIncreaseAcrossSilence covers an entry that acknowledged events
// before it was silent. Later events must have higher numbers, or they would
// pass for acknowledged ones.
func TestEventNumbersIncreaseAcrossSilence(t *testing.T) {
	f := newFixture(t)
	start := f.startTask(key("a", 0))
	f.list(nil, []FinishedRun{{Sequence: 1, Task: start.Task, Number: 1, End: work.EndDone}})
	acked := f.core.EventsFor(testEntry)[0].Number
	f.acknowledge(acked)
	f.startTask(key("b", 0))
	f.silenceEntry()
	f.now = f.now.Add(silentEntryRetention + time.Millisecond)
	f.core.Tick(f.now)
	f.hello(acked, claimOf(key("c", 0)))
	f.acknowledge(acked)
	events := f.core.EventsFor(testEntry)
	must.Len(t, 1, events)
	must.EqOp(t, key("c", 0), events[0].Task)
	must.EqOp(t, work.EndGone, events[0].End)
}

// TestReceivedEventIsNotRepeated covers an entry that receives an end, orders
// the task again, and loses the session with that order. The former end must not
// be reported as that of the new order.
func TestReceivedEventIsNotRepeated(t *testing.T) {
	f := newFixture(t)
	start := f.startTask(key("a", 0))
	f.list(nil, []FinishedRun{{Sequence: 1, Task: start.Task, Number: 1, End: work.EndFailed}})
	received := f.core.EventsFor(testEntry)[0].Number
	f.hello(received, claimOf(start.Task))
	events := f.core.EventsFor(testEntry)
	must.Len(t, 1, events)
	must.EqOp(t, work.EndGone, events[0].End)
	must.Greater(t, received, events[0].Number)
}

// TestUnclaimedEventIsDropped covers an entry that gave up a task while it was
// silent and may order it again. The end of the former run must not be reported
// any more.
func TestUnclaimedEventIsDropped(t *testing.T) {
	f := newFixture(t)
	start := f.startTask(key("a", 0))
	f.list(nil, []FinishedRun{{Sequence: 1, Task: start.Task, Number: 1, End: work.EndStopped}})
	f.silenceEntry()
	f.hello(0)
	must.Len(t, 0, f.core.EventsFor(testEntry))
	must.EqOp(t, 1, f.core.AckedUpTo())
}

// TestOrderOfSilentEntryIsRefused covers an order on the session of an entry
// that was silent. The entry has to open a new session first.
func TestOrderOfSilentEntryIsRefused(t *testing.T) {
	f := newFixture(t)
	f.silenceEntry()
	must.Eq(t, []session.Refusal{session.RefusedStale}, f.order(key("a", 0)))
	f.hello(0)
	must.Eq(t, []session.Refusal{session.RefusedNone}, f.order(key("a", 0)))
}

// TestSilentEntryIsForgotten covers an entry that does not reconnect. The minion
// may forget the ends that were kept for it.
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
