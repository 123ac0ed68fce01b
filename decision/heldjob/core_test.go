package heldjob

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// fixture is a core with its clock, a manifest and connected sidecars.
type fixture struct {
	t       *testing.T
	core    *Core
	now     time.Time
	waiter  uint64
	replies map[uint64]Answer
	starts  []StartTasks
	stops   []StopJob

	// What was asked of the store.
	creates  []CreateJob
	saves    []SaveJob
	endings  []EndJob
	abandons []AbandonCreate
}

func newFixture(t *testing.T, sidecars int) *fixture {
	t.Helper()
	f := &fixture{
		t: t, core: New("a", rand.New(rand.NewPCG(1, 2)), time.Unix(1000, 0)), now: time.Unix(1000, 0),
		replies: make(map[uint64]Answer),
	}
	f.core.SetSnapshot(manifest.Snapshot{Version: 1, Manifest: &manifest.Manifest{Version: 1, Routes: []manifest.Route{{
		Name: "r", Host: "h", Prefix: "/p/", Service: "desk", Attempts: 2, Stretch: 1.6, Objective: 60 * time.Millisecond,
	}}}})
	for i := range sidecars {
		f.connect(fmt.Sprintf("s%d", i))
	}
	return f
}

func (f *fixture) connect(name string) []session.Claim {
	claims, _ := f.core.BeginSession(name)
	f.core.Connected(name, "a", claims)
	f.core.Updated(f.now, name, f.state(10000))
	return claims
}

func (f *fixture) state(free int64) session.State {
	return session.State{
		Minion:   session.Minion{Service: "desk", Capacity: work.Room{MilliCPU: 10000, MemMB: 1000}},
		Taking:   true,
		Free:     work.Room{MilliCPU: free, MemMB: 1000},
		Turnover: 200 * time.Millisecond,
		Pace:     1,
		Seen:     1 << 40,
	}
}

// submit hands in a job of tasks with 4,000 thousandths of a core each.
func (f *fixture) submit(id string, tasks int) uint64 {
	return f.submitWithTimeout(id, tasks, 10*time.Second)
}

// submitWithTimeout hands in a job whose caller waits for the timeout.
func (f *fixture) submitWithTimeout(id string, tasks int, timeout time.Duration) uint64 {
	f.waiter++
	f.core.Submit(f.now, &Submission{
		Waiter: f.waiter, Host: "h", Path: "/p/" + id, CallerTimeout: timeout,
		Job: work.Job{ID: work.JobID(id), BestEffort: true, Steps: []work.Step{{
			Count: tasks, Need: work.Room{MilliCPU: 4000, MemMB: 10}, Estimate: 200 * time.Millisecond,
		}}},
	})
	f.collect()
	return f.waiter
}

func (f *fixture) collect() {
	for _, action := range f.core.TakeActions() {
		switch action := action.(type) {
		case Reply:
			f.replies[action.Waiter] = action.Answer
		case StartTasks:
			f.starts = append(f.starts, action)
		case StopJob:
			f.stops = append(f.stops, action)
		case CreateJob:
			f.creates = append(f.creates, action)
		case SaveJob:
			f.saves = append(f.saves, action)
		case EndJob:
			f.endings = append(f.endings, action)
		case AbandonCreate:
			f.abandons = append(f.abandons, action)
		}
	}
}

// replyToStarts answers all orders with the refusal.
func (f *fixture) replyToStarts(refusal session.Refusal) []StartTasks {
	orders := f.starts
	f.starts = nil
	for _, order := range orders {
		reply := &session.StartReply{State: f.state(10000), Refusals: make([]session.Refusal, len(order.Request.Tasks))}
		for i := range reply.Refusals {
			reply.Refusals[i] = refusal
		}
		f.core.StartReplied(f.now, order.Sidecar, &order.Request, reply)
	}
	f.collect()
	return orders
}

func (f *fixture) endRuns(order StartTasks, end work.End) {
	for _, task := range order.Request.Tasks {
		f.core.RunEnded(f.now, order.Sidecar, session.Event{Task: task.Task, End: end})
	}
	f.collect()
}

func (f *fixture) tick(after time.Duration) {
	f.now = f.now.Add(after)
	f.core.Tick(f.now)
	f.collect()
}

// TestJobCompletes covers the calm path.
func TestJobCompletes(t *testing.T) {
	f := newFixture(t, 2)
	waiter := f.submit("a", 3)
	for _, order := range f.replyToStarts(session.RefusedNone) {
		f.endRuns(order, work.EndDone)
	}
	must.EqOp(t, Completed, f.replies[waiter].Outcome)
	must.EqOp(t, 0, f.core.ActiveJobs())
}

// TestRefusedAtOnceWithoutRoom covers a full system: the answer is given at
// once, nothing is ordered, and it says when to come back.
func TestRefusedAtOnceWithoutRoom(t *testing.T) {
	f := newFixture(t, 1)
	state := f.state(0)
	state.Turnover = 2 * time.Second
	f.core.Updated(f.now, "s0", state)
	waiter := f.submit("a", 2)
	must.EqOp(t, Refused, f.replies[waiter].Outcome)
	must.EqOp(t, ReasonOverload, f.replies[waiter].Reason)
	must.Positive(t, f.replies[waiter].RetryAfter)
	must.Len(t, 0, f.starts)
}

// TestNeverRefusedOnceBegun covers a job of which one order was taken: it is
// given up and not called refused, since a task may have run.
func TestNeverRefusedOnceBegun(t *testing.T) {
	f := newFixture(t, 1)
	waiter := f.submit("a", 2)
	f.replyToStarts(session.RefusedNone)
	f.tick(11 * time.Second)
	must.EqOp(t, GivenUp, f.replies[waiter].Outcome)
	must.Len(t, 1, f.stops)
}

// TestUnansweredOrderIsNotRefused covers an order whose answer is out: it may
// have been taken.
func TestUnansweredOrderIsNotRefused(t *testing.T) {
	f := newFixture(t, 1)
	waiter := f.submit("a", 1)
	f.tick(11 * time.Second)
	must.EqOp(t, GivenUp, f.replies[waiter].Outcome)
}

// TestLostTaskIsPlacedAgainOnlyWhenItMustBeDead covers a sidecar that is cut
// off: its tasks run elsewhere only after the time in which they must lapse.
func TestLostTaskIsPlacedAgainOnlyWhenItMustBeDead(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("a", 1)
	order := f.replyToStarts(session.RefusedNone)[0]
	f.core.Disconnected(order.Sidecar, f.now)
	f.tick(RunExpiry - time.Millisecond)
	must.Len(t, 0, f.starts)
	f.tick(2 * time.Millisecond)
	must.Len(t, 1, f.starts)
	must.NotEqOp(t, order.Sidecar, f.starts[0].Sidecar)
}

// TestLostTaskStaysWhileASessionIsOpening covers a sidecar that may be taking
// the claims of a new session: its runs go on there.
func TestLostTaskStaysWhileASessionIsOpening(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("a", 1)
	order := f.replyToStarts(session.RefusedNone)[0]
	f.core.Disconnected(order.Sidecar, f.now)
	claims, _ := f.core.BeginSession(order.Sidecar)
	must.Len(t, 1, claims)
	f.tick(RunExpiry + time.Millisecond)
	must.Len(t, 0, f.starts)
	f.core.SessionFailed(order.Sidecar, f.now)
	f.tick(RunExpiry - time.Millisecond)
	must.Len(t, 0, f.starts)
	f.tick(2 * time.Millisecond)
	must.Len(t, 1, f.starts)
}

// TestJobDroppedWhileLostIsStopped covers a caller that leaves while a sidecar
// is cut off: the next session stops its runs.
func TestJobDroppedWhileLostIsStopped(t *testing.T) {
	f := newFixture(t, 1)
	waiter := f.submit("a", 1)
	f.replyToStarts(session.RefusedNone)
	f.core.Disconnected("s0", f.now)
	claims, _ := f.core.BeginSession("s0")
	f.core.CallerGone("a", waiter)
	f.core.Connected("s0", "a", claims)
	f.collect()
	must.Eq(t, []StopJob{{Sidecar: "s0", Job: "a"}}, f.stops)
}

// TestFailedTaskIsTriedAgainElsewhere covers attempts: the job fails with the
// last one, at once.
func TestFailedTaskIsTriedAgainElsewhere(t *testing.T) {
	f := newFixture(t, 2)
	waiter := f.submit("a", 1)
	first := f.replyToStarts(session.RefusedNone)[0]
	f.endRuns(first, work.EndFailed)
	must.Len(t, 1, f.starts)
	must.NotEqOp(t, first.Sidecar, f.starts[0].Sidecar)
	f.endRuns(f.replyToStarts(session.RefusedNone)[0], work.EndFailed)
	must.EqOp(t, Failed, f.replies[waiter].Outcome)
}

// TestSameJobJoins covers a job that comes again while it is under way.
func TestSameJobJoins(t *testing.T) {
	f := newFixture(t, 1)
	first := f.submit("a", 1)
	second := f.submit("a", 1)
	orders := f.replyToStarts(session.RefusedNone)
	must.Len(t, 1, orders)
	f.endRuns(orders[0], work.EndDone)
	must.EqOp(t, Completed, f.replies[first].Outcome)
	must.EqOp(t, Completed, f.replies[second].Outcome)
}

// TestCallerGoneStopsTheJob covers a caller that leaves.
func TestCallerGoneStopsTheJob(t *testing.T) {
	f := newFixture(t, 1)
	waiter := f.submit("a", 1)
	f.replyToStarts(session.RefusedNone)
	f.core.CallerGone("a", waiter)
	f.collect()
	must.EqOp(t, 0, f.core.ActiveJobs())
	must.Len(t, 1, f.stops)
}

// TestNoManifest covers an entry that has none yet, and an unknown route.
func TestNoManifest(t *testing.T) {
	f := newFixture(t, 1)
	f.core.SetSnapshot(manifest.Snapshot{})
	must.EqOp(t, ReasonNoManifest, f.replies[f.submit("a", 1)].Reason)
	f.core.SetSnapshot(manifest.Snapshot{Version: 2, Manifest: &manifest.Manifest{Version: 2}})
	must.EqOp(t, NoRoute, f.replies[f.submit("b", 1)].Outcome)
}

// TestJobsWaitWhileTheEntryWarmsUp covers an entry that has just started: a
// job waits for the first sidecar while it can still be in time, and is refused
// at once when it can't, or later.
func TestJobsWaitWhileTheEntryWarmsUp(t *testing.T) {
	f := newFixture(t, 0)
	f.submit("a", 1)
	must.EqOp(t, 1, f.core.ActiveJobs())
	f.connect("s0")
	f.tick(25 * time.Millisecond)
	must.Len(t, 1, f.starts)

	f = newFixture(t, 0)
	waiter := f.submit("a", 1)
	f.tick(200 * time.Millisecond)
	must.EqOp(t, Refused, f.replies[waiter].Outcome)
	must.EqOp(t, ReasonNoTargets, f.replies[waiter].Reason)

	f = newFixture(t, 0)
	f.now = f.now.Add(warmupTime)
	must.EqOp(t, Refused, f.replies[f.submit("a", 1)].Outcome)
}

// TestHopelessJobIsRefusedAtOnce covers a job that comes again when its caller
// is about to stop waiting.
func TestHopelessJobIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, 1)
	waiter := f.submitWithTimeout("a", 1, 70*time.Millisecond)
	must.EqOp(t, Refused, f.replies[waiter].Outcome)
	must.EqOp(t, ReasonTooLate, f.replies[waiter].Reason)
	must.Len(t, 0, f.starts)
}

// TestOvertakenOrderIsStopped covers an order that arrives after the stop of its
// job, because its caller has left: what the sidecar has taken is stopped again.
func TestOvertakenOrderIsStopped(t *testing.T) {
	f := newFixture(t, 1)
	waiter := f.submit("a", 1)
	f.core.CallerGone("a", waiter)
	f.collect()
	must.Len(t, 1, f.stops)
	f.replyToStarts(session.RefusedNone)
	must.Len(t, 2, f.stops)
	must.EqOp(t, work.JobID("a"), f.stops[1].Job)
}

// TestTakenOrderOfAnEndedTaskStopsNothing covers an answer to an order that comes
// after the end of the task, which may have been placed elsewhere by then: the
// job's other tasks go on.
func TestTakenOrderOfAnEndedTaskStopsNothing(t *testing.T) {
	for _, end := range []work.End{work.EndDone, work.EndFailed} {
		f := newFixture(t, 2)
		f.submit("a", 2)
		order := f.starts[0]
		f.core.RunEnded(f.now, order.Sidecar, session.Event{Number: 1, Task: order.Request.Tasks[0].Task, End: end})
		f.collect()
		f.replyToStarts(session.RefusedNone)
		must.Len(t, 0, f.stops)
	}
}
