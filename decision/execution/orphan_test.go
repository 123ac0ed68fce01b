package execution

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// keptStarted orders a task of a stored job and lets the minion start it.
func (f *fixture) keptStarted(task work.TaskKey) {
	f.t.Helper()
	f.request++
	refusals := f.core.Order(f.now, testEntry, &session.StartRequest{Echo: session.StampOf(f.now), Number: f.request, Tasks: []session.StartTask{{
		Task: task, Need: work.Room{MilliCPU: 4000}, Estimate: 100 * time.Millisecond, MaxWait: time.Second, ExpectedWait: time.Second, Stored: true,
	}}})
	must.Eq(f.t, []session.Refusal{session.RefusedNone}, refusals)
	f.core.StartAnswered(f.now, f.starts()[0], Started)
}

// keptDone runs a task of a stored job to its end, which the entry is told and
// has not stored.
func (f *fixture) keptDone(task work.TaskKey) {
	f.t.Helper()
	f.keptStarted(task)
	f.list(nil, []FinishedRun{{Sequence: 1, Task: task, Number: 1, End: work.EndDone}})
}

func adoption(jobs ...work.JobID) *session.AdoptRequest {
	return &session.AdoptRequest{Owner: testEntry, Boot: testBoot, Jobs: jobs}
}

// TestHeardIsNotNoted covers an end that the entry has heard and not stored: the
// minion must not forget it.
func TestHeardIsNotNoted(t *testing.T) {
	f := newFixture(t)
	f.keptDone(key("a", 0))
	event := f.core.EventsFor(testEntry)[0].Number
	f.core.Noted(testEntry, Known{Heard: event})
	must.Len(t, 0, f.core.EventsFor(testEntry))
	must.EqOp(t, 0, f.core.AckedUpTo())
	f.noted(event)
	must.EqOp(t, 1, f.core.AckedUpTo())
}

// TestAdoptionFindsEnds covers an entry that dies before it has stored an end:
// another one is told of it, and the minion forgets it only when it is stored.
func TestAdoptionFindsEnds(t *testing.T) {
	f := newFixture(t)
	task := key("a", 0)
	f.keptDone(task)
	must.True(t, f.core.Adopt(f.now, adoption("a")).OwnerAlive)
	f.fallSilent()
	f.now = f.now.Add(silenceKept + time.Millisecond)
	f.core.Tick(f.now)
	must.EqOp(t, 0, f.core.AckedUpTo())
	reply := f.core.Adopt(f.now, adoption("a", "b"))
	must.False(t, reply.OwnerAlive)
	must.False(t, reply.Busy)
	must.Eq(t, []session.TaskEnd{{Task: task, End: work.EndDone}}, reply.Ends)
	stored := adoption()
	stored.Stored = []work.TaskKey{task}
	must.Len(t, 0, f.core.Adopt(f.now, stored).Ends)
	must.EqOp(t, 1, f.core.AckedUpTo())
}

// TestForcedAdoption covers an owner that lives and was revoked: its runs are
// stopped, and the ends that it may not have stored are told to the new owner
// and kept for the former one.
func TestForcedAdoption(t *testing.T) {
	f := newFixture(t)
	f.keptDone(key("a", 0))
	f.started(key("a", 1))
	request := adoption("a")
	must.True(t, f.core.Adopt(f.now, request).OwnerAlive)
	request.Force = true
	reply := f.core.Adopt(f.now, request)
	must.True(t, reply.Busy)
	must.Eq(t, []session.TaskEnd{{Task: key("a", 0), End: work.EndDone}}, reply.Ends)
	must.Len(t, 1, f.core.EventsFor(testEntry))
	must.EqOp(t, 0, f.core.AckedUpTo())
}

// TestAdoptionStopsRuns covers runs of an entry that is gone: they are stopped,
// and whoever adopts the job waits for that.
func TestAdoptionStopsRuns(t *testing.T) {
	f := newFixture(t)
	start := f.started(key("a", 0))
	f.fallSilent()
	must.True(t, f.core.Adopt(f.now, adoption("a")).Busy)
	f.list(nil, []FinishedRun{{Sequence: 1, Task: start.Task, Number: 1, End: work.EndStopped}})
	must.False(t, f.core.Adopt(f.now, adoption("a")).Busy)
}

// TestRestartKeepsEnds covers a sidecar that is killed before an entry has heard
// of an end: its next life finds the end with the minion and tells it to the
// entry that claims the task.
func TestRestartKeepsEnds(t *testing.T) {
	f := &fixture{t: t, core: New(100), now: time.Unix(1000, 0)}
	f.core.Heartbeat(f.now, session.Minion{ID: "i-1", Born: testBorn, Capacity: work.Room{MilliCPU: 10000, MemMB: 1000}}, false)
	task := key("a", 0)
	f.list(nil, []FinishedRun{{Sequence: 7, Task: task, Number: 1, End: work.EndDone}})
	must.EqOp(t, 6, f.core.AckedUpTo())
	f.hello(0, claimOf(task))
	events := f.core.EventsFor(testEntry)
	must.Len(t, 1, events)
	must.EqOp(t, work.EndDone, events[0].End)
	must.EqOp(t, 6, f.core.AckedUpTo())
	f.noted(events[0].Number)
	must.EqOp(t, 7, f.core.AckedUpTo())
}

// TestUnclaimedEndsAreForgotten covers ends that nobody asks for: soon where no
// jobs are stored, later where some are.
func TestUnclaimedEndsAreForgotten(t *testing.T) {
	for _, tc := range []struct {
		keeps bool
		limit time.Duration
	}{{false, guessKept}, {true, orphanKept}} {
		f := &fixture{t: t, core: New(100), now: time.Unix(1000, 0)}
		f.list(nil, []FinishedRun{{Sequence: 7, Task: key("a", 0), Number: 1, End: work.EndDone}})
		f.core.Hello(f.now, Greeting{Entry: testEntry, Boot: testBoot, KeepsJobs: tc.keeps})
		f.now = f.now.Add(tc.limit)
		f.core.Tick(f.now)
		must.EqOp(t, 6, f.core.AckedUpTo())
		f.now = f.now.Add(time.Millisecond)
		f.core.Tick(f.now)
		must.EqOp(t, 7, f.core.AckedUpTo())
	}
}

// TestLeaseLapsesWithoutEntries covers a sidecar that nobody reaches: whoever
// waits for its runs knows that they have lapsed.
func TestLeaseLapsesWithoutEntries(t *testing.T) {
	f := newFixture(t)
	must.True(t, f.core.MayRenew(f.now))
	f.now = f.now.Add(SilenceLimit + time.Millisecond)
	must.False(t, f.core.MayRenew(f.now))
	f.core.Tick(f.now)
	f.hello(0)
	must.True(t, f.core.MayRenew(f.now))
}

// TestEntriesAreAskedAboutOrphans covers ends that nobody claims: an entry is
// asked whether they are stored, one at a time, and they go when it says so.
func TestEntriesAreAskedAboutOrphans(t *testing.T) {
	f := newFixture(t)
	task := key("a", 0)
	f.keptDone(task)
	f.fallSilent()
	must.Len(t, 0, f.core.AskOrphans(f.now))
	f.now = f.now.Add(orphanPatience)
	must.Eq(t, []work.TaskKey{task}, f.core.AskOrphans(f.now))
	must.Len(t, 0, f.core.AskOrphans(f.now))
	again := f.now.Add(orphanAskAgain)
	must.Eq(t, []work.TaskKey{task}, f.core.AskOrphans(again))
	f.core.Adopt(f.now, &session.AdoptRequest{Stored: []work.TaskKey{task}})
	must.EqOp(t, 1, f.core.AckedUpTo())
}

// TestDoubtfulEndWaitsForALapse covers a sidecar that its entry could not reach
// for long, while another one kept its lease: the entry may have run a task again
// of which an end is found then. It is taken note of after a lapse of the lease,
// and nothing starts before.
func TestDoubtfulEndWaitsForALapse(t *testing.T) {
	f := newFixture(t)
	task := key("a", 0)
	f.keptDone(task)
	f.now = f.now.Add(2 * releaseSafe)
	f.core.Tick(f.now)
	f.hello(0)
	f.core.Adopt(f.now, &session.AdoptRequest{Stored: []work.TaskKey{task}})
	must.EqOp(t, 0, f.core.AckedUpTo())
	must.False(t, f.core.MayRenew(f.now))
	must.Eq(t, []session.Refusal{session.RefusedNoMinion}, f.order(key("b", 0)))
	f.core.LeaseLapsed(f.now)
	must.EqOp(t, 1, f.core.AckedUpTo())
	must.True(t, f.core.MayRenew(f.now))
	must.Eq(t, []session.Refusal{session.RefusedNone}, f.order(key("b", 0)))
}

// TestAdoptedEndIsNotDoubtful covers an old end that the entry that takes the job
// over was told: it has not run the task again.
func TestAdoptedEndIsNotDoubtful(t *testing.T) {
	f := newFixture(t)
	task := key("a", 0)
	f.keptDone(task)
	f.fallSilent()
	f.now = f.now.Add(2 * releaseSafe)
	must.Len(t, 1, f.core.Adopt(f.now, adoption("a")).Ends)
	f.core.Adopt(f.now, &session.AdoptRequest{Stored: []work.TaskKey{task}})
	must.EqOp(t, 1, f.core.AckedUpTo())
}

// TestEntryThatComesBackNotesItsEnds covers an entry that has heard an end before
// a silence, and stores it after that.
func TestEntryThatComesBackNotesItsEnds(t *testing.T) {
	f := newFixture(t)
	f.keptDone(key("a", 0))
	event := f.core.EventsFor(testEntry)[0].Number
	f.core.Noted(testEntry, Known{Heard: event})
	f.fallSilent()
	f.core.Hello(f.now, Greeting{Entry: testEntry, Boot: testBoot, Events: Known{Heard: event}})
	must.EqOp(t, 0, f.core.AckedUpTo())
	f.noted(event)
	must.EqOp(t, 1, f.core.AckedUpTo())
}

// TestUnheardEndIsNotNoted covers an end that an entry has not heard before it
// fell silent: what it notes of later events says nothing of that one.
func TestUnheardEndIsNotNoted(t *testing.T) {
	f := newFixture(t)
	f.keptDone(key("a", 0))
	unheard := f.core.EventsFor(testEntry)[0].Number
	f.fallSilent()
	f.hello(0)
	f.noted(unheard + 1)
	must.EqOp(t, 0, f.core.AckedUpTo())
	must.Eq(t, []work.TaskKey{key("a", 0)}, f.core.AskOrphans(f.now.Add(orphanPatience)))
}

// TestWokenSidecarAsksForTheEnd covers a sidecar that was suspended while a task
// of a stored job was done and the lease lapsed: it reads the list before it says
// how the run ended.
func TestWokenSidecarAsksForTheEnd(t *testing.T) {
	f := newFixture(t)
	task := key("a", 0)
	f.keptStarted(task)
	f.now = f.now.Add(10 * time.Second)
	f.core.LookFailed(f.now, false)
	f.core.LeaseLapsed(f.now)
	must.Len(t, 0, f.core.EventsFor(testEntry))
	f.list(nil, []FinishedRun{{Sequence: 1, Task: task, Number: 1, End: work.EndDone}})
	events := f.core.EventsFor(testEntry)
	must.Len(t, 1, events)
	must.EqOp(t, work.EndDone, events[0].End)
}

// TestLostMinionEndsKeptRuns covers a minion that does not answer any more.
func TestLostMinionEndsKeptRuns(t *testing.T) {
	f := newFixture(t)
	task := key("a", 0)
	f.keptStarted(task)
	f.now = f.now.Add(2 * lostMinionAfter)
	for range lostLooksLimit + 1 {
		f.core.LookFailed(f.now, false)
	}
	f.core.LeaseLapsed(f.now)
	events := f.core.EventsFor(testEntry)
	must.Len(t, 1, events)
	must.EqOp(t, work.EndLapsed, events[0].End)
}

// TestAdoptionWaitsForTheFirstList covers a sidecar that has just started: it does
// not know what its minion has, and says so.
func TestAdoptionWaitsForTheFirstList(t *testing.T) {
	f := &fixture{t: t, core: New(100), now: time.Unix(1000, 0)}
	must.True(t, f.core.Adopt(f.now, adoption("a")).Incomplete)
	task := key("a", 0)
	f.list(nil, []FinishedRun{{Sequence: 7, Task: task, Number: 1, End: work.EndDone}})
	reply := f.core.Adopt(f.now, adoption("a"))
	must.False(t, reply.Incomplete)
	must.Eq(t, []session.TaskEnd{{Task: task, End: work.EndDone}}, reply.Ends)
}
