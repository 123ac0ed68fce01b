package execution

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// fill starts tasks until the minion is full, and returns one that waits.
func (f *fixture) fill() (started []Start, waiting work.TaskKey) {
	waiting = key("waits", 0)
	f.order(key("a", 0), key("b", 0))
	started = f.starts()
	for _, start := range started {
		f.core.StartAnswered(f.now, start, Started)
	}
	must.Eq(f.t, []session.Refusal{session.RefusedNone}, f.order(waiting))
	must.Len(f.t, 0, f.starts())
	return started, waiting
}

// finished lists the runs as done.
func finished(starts []Start) []FinishedRun {
	var ends []FinishedRun
	for i, start := range starts {
		ends = append(ends, FinishedRun{Sequence: uint64(i + 1), Task: start.Task, Number: start.Number, End: work.EndDone})
	}
	return ends
}

// TestLongPauseStartsNothing covers a sidecar that was paused, for less and for
// more than the time for which it remembers a silent entry. Whatever it looks at
// first when it wakes up, it starts nothing that waited for the entry.
func TestLongPauseStartsNothing(t *testing.T) {
	for _, pause := range []time.Duration{2 * SilenceLimit, SilenceLimit + 2*silenceKept} {
		for _, tickFirst := range []bool{true, false} {
			f := newFixture(t)
			started, _ := f.fill()
			f.now = f.now.Add(pause)
			if tickFirst {
				f.core.Tick(f.now)
			}
			f.list(nil, finished(started))
			f.core.Tick(f.now)
			f.list(nil, finished(started))
			must.Len(t, 0, f.starts())
		}
	}
}

// TestLongPauseStopsRuns covers runs at work of an entry that is forgotten at
// once after a pause: they are stopped as those of any silent entry.
func TestLongPauseStopsRuns(t *testing.T) {
	f := newFixture(t)
	started, _ := f.fill()
	f.now = f.now.Add(SilenceLimit + 2*silenceKept)
	f.core.Tick(f.now)
	stops := 0
	for _, action := range f.core.Take() {
		if _, ok := action.(Stop); ok {
			stops++
		}
	}
	must.EqOp(t, len(started), stops)
}

// TestRunOfTheNextIncarnationIsKept covers a minion that starts anew just before
// an order: the sidecar learns of it by a report or by a list, after the order
// was answered. The run is at work and must not be told as gone.
func TestRunOfTheNextIncarnationIsKept(t *testing.T) {
	for _, reported := range []bool{true, false} {
		f := newFixture(t)
		before := f.started(key("before", 0))
		look := f.core.NextLook()
		after := f.started(key("after", 0))
		if reported {
			f.core.Heartbeat(f.now, session.Minion{
				ID: "i-1", Service: "desk", Born: testBorn + 1, Capacity: work.Room{MilliCPU: 10000, MemMB: 1000},
			}, false)
		}
		f.core.Listed(f.now, Listing{Look: look, Fence: f.core.Fence(), Born: testBorn + 1})
		events := f.core.EventsFor(testEntry)
		must.Len(t, 1, events)
		must.EqOp(t, before.Task, events[0].Task)
		must.EqOp(t, work.EndGone, events[0].End)
		f.core.Listed(f.now, Listing{
			Look: f.core.NextLook(), Fence: f.core.Fence(), Born: testBorn + 1,
			Running: []RunningRun{{Task: after.Task, Number: after.Number, Percent: 1}},
		})
		must.Len(t, 1, f.core.EventsFor(testEntry))
	}
}

// TestListOfAFormerIncarnation covers a list that was answered before a minion
// started anew and arrives after one of the new incarnation.
func TestListOfAFormerIncarnation(t *testing.T) {
	f := newFixture(t)
	late := f.core.NextLook()
	f.core.Listed(f.now, Listing{Look: f.core.NextLook(), Fence: f.core.Fence(), Born: testBorn + 1})
	f.core.Heartbeat(f.now, session.Minion{
		ID: "i-1", Service: "desk", Born: testBorn + 1, Capacity: work.Room{MilliCPU: 10000, MemMB: 1000},
	}, false)
	run := f.started(key("a", 0))
	f.core.Listed(f.now, Listing{
		Look: f.core.NextLook(), Fence: f.core.Fence(), Born: testBorn + 1,
		Running: []RunningRun{{Task: run.Task, Number: run.Number, Percent: 1}},
	})
	f.core.Listed(f.now, Listing{Look: late, Fence: f.core.Fence(), Born: testBorn})
	must.Len(t, 0, f.core.EventsFor(testEntry))
}

// TestForgottenRunIsNotToldAsNotRun covers an entry that comes back after the
// sidecar has forgotten it: what it claims may have run.
func TestForgottenRunIsNotToldAsNotRun(t *testing.T) {
	f := newFixture(t)
	start := f.started(key("a", 0))
	f.fallSilent()
	f.list(nil, []FinishedRun{{Sequence: 1, Task: start.Task, Number: 1, End: work.EndStopped}})
	f.now = f.now.Add(2 * silenceKept)
	f.core.Tick(f.now)
	f.hello(0, claimOf(start.Task))
	events := f.core.EventsFor(testEntry)
	must.Len(t, 1, events)
	must.EqOp(t, work.EndGone, events[0].End)
}

// TestClaimIsAnsweredOnce covers an entry that comes back while the minion is
// down. It hears of a run's end at once; the first list after that must not tell
// the same claim as gone, since the entry may have ordered the task anew.
func TestClaimIsAnsweredOnce(t *testing.T) {
	f := newFixture(t)
	start := f.started(key("a", 0))
	f.fallSilent()
	f.list(nil, []FinishedRun{{Sequence: 1, Task: start.Task, Number: 1, End: work.EndStopped}})
	f.core.LookFailed(f.now, true)
	f.hello(0, claimOf(start.Task), claimOf(key("b", 0)))
	events := f.core.EventsFor(testEntry)
	must.Len(t, 1, events)
	must.EqOp(t, work.EndStopped, events[0].End)
	f.noted(events[0].Number)
	f.list(nil, nil)
	events = f.core.EventsFor(testEntry)
	must.Len(t, 1, events)
	must.EqOp(t, key("b", 0), events[0].Task)
}

// TestEndOfAFormerLifeIsKept covers a run of a stored job that ends while the next
// life of its entry opens a session: the end is not for that life, and whoever
// takes the job over hears of it.
func TestEndOfAFormerLifeIsKept(t *testing.T) {
	f := newFixture(t)
	task := key("j", 0)
	start := f.run(task, "")
	f.core.Hello(f.now, Greeting{Entry: testEntry, Boot: "boot-2", KeepsJobs: true})
	f.list(nil, []FinishedRun{{Sequence: 1, Task: task, Number: start.Number, End: work.EndDone}})
	must.Len(t, 0, f.core.EventsFor(testEntry))
	f.noted(100)
	must.EqOp(t, 0, f.core.AckedUpTo())
	reply := f.core.Adopt(f.now, &session.AdoptRequest{Owner: testEntry, Boot: testBoot, Jobs: []work.JobID{"j"}})
	must.Eq(t, []session.TaskEnd{{Task: task, End: work.EndDone}}, reply.Ends)
}

// TestEndWaitsForWhoKnows covers a sidecar that was restarted after a task was
// done, and that no entry reaches for a while, or only one that has not been able
// to read the table: the end is kept, as its job may be stored.
func TestEndWaitsForWhoKnows(t *testing.T) {
	for _, reached := range []bool{false, true} {
		f := newFixture(t)
		f.core = New(200)
		task := key("j", 0)
		f.list(nil, []FinishedRun{{Sequence: 1, Task: task, Number: 1, End: work.EndDone}})
		if reached {
			f.core.Hello(f.now, Greeting{Entry: testEntry, Boot: "boot-2", KeepsJobs: true})
		}
		f.now = f.now.Add(2 * guessKept)
		f.core.Tick(f.now)
		must.EqOp(t, 0, f.core.AckedUpTo())
		f.core.Hello(f.now, Greeting{Entry: testEntry, Boot: testBoot, KeepsJobs: true, Claims: []session.Claim{{Task: task, Stored: true}}})
		events := f.core.EventsFor(testEntry)
		must.Len(t, 1, events)
		must.EqOp(t, work.EndDone, events[0].End)
	}
}
