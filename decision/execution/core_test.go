package execution

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

const (
	testEntry = "edge-1"
	testBoot  = "boot-1"
	testBorn  = int64(1000)
)

// fixture is a core with its clock and an entry's session.
type fixture struct {
	t       *testing.T
	core    *Core
	now     time.Time
	request uint64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, core: New(100), now: time.Unix(1000, 0)}
	f.core.Heartbeat(f.now, session.Minion{ID: "i-1", Service: "desk", Born: testBorn, Capacity: work.Room{MilliCPU: 10000, MemMB: 1000}}, false)
	f.core.Hello(f.now, Greeting{Entry: testEntry, Boot: testBoot})
	f.list(nil, nil)
	f.core.Take()
	return f
}

func key(job string, index int) work.TaskKey {
	return work.TaskKey{Job: work.JobID(job), Index: index}
}

// order sends orders for tasks of 4,000 thousandths of a core each.
func (f *fixture) order(tasks ...work.TaskKey) []session.Refusal {
	f.request++
	request := &session.StartRequest{Echo: session.StampOf(f.now), Number: f.request}
	for _, task := range tasks {
		request.Tasks = append(request.Tasks, session.StartTask{
			Task: task, Need: work.Room{MilliCPU: 4000, MemMB: 10},
			Estimate: 100 * time.Millisecond, Slack: 500 * time.Millisecond, MaxWait: time.Second, ExpectedWait: time.Second,
		})
	}
	return f.core.Order(f.now, testEntry, request)
}

// list answers a look that is sent now.
func (f *fixture) list(running []RunningRun, finished []FinishedRun) {
	f.answer(f.core.NextLook(), running, finished)
}

func (f *fixture) answer(look uint64, running []RunningRun, finished []FinishedRun) {
	f.core.Listed(f.now, Listing{Look: look, Fence: f.core.Fence(), Born: testBorn, Running: running, Finished: finished})
}

func (f *fixture) starts() []Start {
	var starts []Start
	for _, action := range f.core.Take() {
		if start, ok := action.(Start); ok {
			starts = append(starts, start)
		}
	}
	return starts
}

// noted lets the entry take note of all events up to the number.
func (f *fixture) noted(upTo uint64) {
	f.core.Noted(testEntry, Known{Heard: upTo, Noted: upTo})
}

func (f *fixture) freeCPU() int64 {
	free, _ := f.core.Room()
	return free
}

// TestOvertakenListingLeavesNoRun covers a look that was answered late and
// shows a run whose end was taken from a newer answer.
func TestOvertakenListingLeavesNoRun(t *testing.T) {
	f := newFixture(t)
	f.order(key("a", 0))
	start := f.starts()[0]
	f.core.StartAnswered(f.now, start, Started)
	late := f.core.NextLook()
	f.list(nil, []FinishedRun{{Sequence: 1, Task: start.Task, Number: 1, End: work.EndDone}})
	must.EqOp(t, 10000, f.freeCPU())
	f.answer(late, []RunningRun{{Task: start.Task, Number: 1, Percent: 90}}, nil)
	must.EqOp(t, 10000, f.freeCPU())
}

// TestPartialListingProvesNothing covers a minion with more ended runs than it
// lists at a time: a run that is not shown may be among the others.
func TestPartialListingProvesNothing(t *testing.T) {
	f := newFixture(t)
	start := f.started(key("a", 0))
	f.core.Listed(f.now, Listing{Look: f.core.NextLook(), Fence: f.core.Fence(), Born: testBorn, Partial: true})
	must.Len(t, 0, f.core.EventsFor(testEntry))
	f.list(nil, []FinishedRun{{Sequence: 501, Task: start.Task, Number: 1, End: work.EndDone}})
	must.EqOp(t, work.EndDone, f.core.EventsFor(testEntry)[0].End)
}

// TestFoundRunEndsWhenItIsNotListed covers a run of a former life of the
// sidecar that nobody claims and whose end was taken note of before.
func TestFoundRunEndsWhenItIsNotListed(t *testing.T) {
	f := &fixture{t: t, core: New(100), now: time.Unix(1000, 0)}
	f.core.Heartbeat(f.now, session.Minion{ID: "i-1", Born: testBorn, Capacity: work.Room{MilliCPU: 10000, MemMB: 1000}}, false)
	f.list([]RunningRun{{Task: key("a", 0), Number: 1}}, nil)
	must.EqOp(t, 0, f.freeCPU())
	f.list(nil, nil)
	must.EqOp(t, 10000, f.freeCPU())
}

// TestRoomIsNeverExceeded covers orders beyond the capacity: they wait.
func TestRoomIsNeverExceeded(t *testing.T) {
	f := newFixture(t)
	f.order(key("a", 0), key("a", 1), key("a", 2))
	must.Len(t, 2, f.starts())
	must.EqOp(t, 2000, f.freeCPU())
}

// TestUnansweredStartHoldsItsRoom covers a start that may be carried out late:
// its room stays taken until a list under a higher fence does not show it.
func TestUnansweredStartHoldsItsRoom(t *testing.T) {
	f := newFixture(t)
	f.order(key("a", 0))
	start := f.starts()[0]
	fence := f.core.Fence()
	f.core.StartAnswered(f.now, start, StartUnanswered)
	must.Greater(t, fence, f.core.Fence())
	must.EqOp(t, 6000, f.freeCPU())

	old := Listing{Look: f.core.NextLook(), Fence: fence, Born: testBorn}
	f.core.Listed(f.now, old)
	must.EqOp(t, 6000, f.freeCPU())
	must.Len(t, 0, f.starts())

	f.list(nil, nil)
	again := f.starts()
	must.Len(t, 1, again)
	must.EqOp(t, 2, again[0].Number)
	must.EqOp(t, f.core.Fence(), again[0].Fence)
}

// TestSilentEntryHasNoRuns covers an entry that is cut off: its runs are
// stopped, and their room is free only when they are listed as ended.
func TestSilentEntryHasNoRuns(t *testing.T) {
	f := newFixture(t)
	f.order(key("a", 0))
	start := f.starts()[0]
	f.core.StartAnswered(f.now, start, Started)
	f.now = f.now.Add(SilenceLimit + time.Millisecond)
	f.core.Tick(f.now)
	var stops []Stop
	for _, action := range f.core.Take() {
		if stop, ok := action.(Stop); ok {
			stops = append(stops, stop)
		}
	}
	must.Len(t, 1, stops)
	must.EqOp(t, 6000, f.freeCPU())
	f.list(nil, []FinishedRun{{Sequence: 1, Task: start.Task, Number: 1, End: work.EndStopped}})
	must.EqOp(t, 10000, f.freeCPU())
}

// TestStaleOrderIsRefused covers an order that a partition has held up.
func TestStaleOrderIsRefused(t *testing.T) {
	f := newFixture(t)
	request := &session.StartRequest{
		Echo:  session.StampOf(f.now.Add(-OrderMaxAge - time.Millisecond)),
		Tasks: []session.StartTask{{Task: key("a", 0), Need: work.Room{MilliCPU: 1}}},
	}
	must.Eq(t, []session.Refusal{session.RefusedStale}, f.core.Order(f.now, testEntry, request))
	must.Len(t, 0, f.starts())
}

// TestNewIncarnationEndsEverything covers a minion that crashed and is back at
// the same address.
func TestNewIncarnationEndsEverything(t *testing.T) {
	f := newFixture(t)
	f.order(key("a", 0))
	f.core.StartAnswered(f.now, f.starts()[0], Started)
	f.core.Listed(f.now, Listing{Look: f.core.NextLook(), Fence: f.core.Fence(), Born: testBorn + 1})
	events := f.core.EventsFor(testEntry)
	must.Len(t, 1, events)
	must.EqOp(t, work.EndGone, events[0].End)
}

// TestEndsAreAcknowledgedWhenNoted covers the number up to which the minion
// may forget: it does not pass an end that the entry has not taken note of.
func TestEndsAreAcknowledgedWhenNoted(t *testing.T) {
	f := newFixture(t)
	f.order(key("a", 0))
	start := f.starts()[0]
	f.core.StartAnswered(f.now, start, Started)
	f.list(nil, []FinishedRun{{Sequence: 1, Task: start.Task, Number: 1, End: work.EndDone}})
	must.EqOp(t, 0, f.core.AckedUpTo())
	f.noted(f.core.EventsFor(testEntry)[0].Number)
	must.EqOp(t, 1, f.core.AckedUpTo())
}

// TestUnansweredLookIsVoid covers a renewal that may be carried out late: the
// next look carries a higher fence.
func TestUnansweredLookIsVoid(t *testing.T) {
	f := newFixture(t)
	fence := f.core.Fence()
	f.core.LookFailed(f.now, false)
	must.Greater(t, fence, f.core.Fence())
}

// TestSilentMinionKeepsItsRunsUntilTheLeaseLapsed covers a minion that does not
// answer: its runs may be at work until every lease has lapsed for certain.
func TestSilentMinionKeepsItsRunsUntilTheLeaseLapsed(t *testing.T) {
	f := newFixture(t)
	f.order(key("a", 0))
	f.core.StartAnswered(f.now, f.starts()[0], Started)
	f.now = f.now.Add(BlindAfter + time.Millisecond)
	f.core.LookFailed(f.now, false)
	must.False(t, f.core.MayRenew(f.now))
	f.now = f.now.Add(10 * time.Second)
	f.core.Echo(testEntry, session.StampOf(f.now))
	f.core.Tick(f.now)
	must.EqOp(t, 6000, f.freeCPU())
	f.core.LeaseLapsed(f.now)
	must.EqOp(t, 10000, f.freeCPU())
	must.EqOp(t, work.EndLapsed, f.core.EventsFor(testEntry)[0].End)
}

// TestEndBeforeTheAnswer covers a run whose end is listed before its start is
// answered: the note of it has no negative times.
func TestEndBeforeTheAnswer(t *testing.T) {
	f := newFixture(t)
	f.order(key("a", 0))
	f.core.Notes()
	f.list(nil, []FinishedRun{{Sequence: 1, Task: key("a", 0), Number: 1, End: work.EndDone}})
	notes := f.core.Notes()
	must.Len(t, 1, notes)
	must.EqOp(t, 0, notes[0].Answered)
	must.EqOp(t, 0, notes[0].Waited)
}

// TestUnexpectedWaitIsRefused covers two entries that saw the same room: the
// second is told at once, with the newer state.
func TestUnexpectedWaitIsRefused(t *testing.T) {
	f := newFixture(t)
	f.order(key("a", 0), key("a", 1))
	request := &session.StartRequest{Echo: session.StampOf(f.now), Number: 2, Tasks: []session.StartTask{{
		Task: key("b", 0), Need: work.Room{MilliCPU: 4000}, MaxWait: time.Second, Slack: time.Second,
	}}}
	must.Eq(t, []session.Refusal{session.RefusedRoom}, f.core.Order(f.now, testEntry, request))
}

// TestLooksAreShortWhileOrdersAreLost covers a minion that leaves orders
// unanswered: looks are short, so that a lost one costs little, and get more
// time on an instance that is slow.
func TestLooksAreShortWhileOrdersAreLost(t *testing.T) {
	f := newFixture(t)
	calm, _ := f.core.LookTimes(f.now)
	f.core.LookFailed(f.now, false)
	wary, first := f.core.LookTimes(f.now)
	must.Less(t, calm, wary)
	f.core.LookFailed(f.now, false)
	_, second := f.core.LookTimes(f.now)
	must.Greater(t, first, second)
	f.list(nil, nil)
	_, third := f.core.LookTimes(f.now)
	must.EqOp(t, waryGrace, third)
	after, _ := f.core.LookTimes(f.now.Add(waryTime + time.Millisecond))
	must.EqOp(t, calm, after)
}
