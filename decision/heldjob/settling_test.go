package heldjob

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestJobsWaitDuringWarmup covers an entry that has just started: a job waits for the
// first sidecar while it can still be in time. It is refused as soon as it can't, and
// immediately after the warmup time.
func TestJobsWaitDuringWarmup(t *testing.T) {
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

// TestJobsWaitWhileSettling covers an entry that has met one of its four sidecars, which
// is full: a job waits and is placed at the next sidecar that accepts tasks. Without a
// new one for settleQuiet, or after the warmup time, a job is refused at once.
func TestJobsWaitWhileSettling(t *testing.T) {
	settling := func() *fixture {
		f := newFixture(t, 0)
		f.core.SetExpectedSidecars(4)
		f.connect("s0")
		f.core.Updated(f.now, "s0", f.state(0))
		return f
	}
	f := settling()
	f.submit("a", 2)
	must.EqOp(t, 1, f.core.ActiveJobs())
	must.Len(t, 0, f.starts)
	f.connect("s1")
	f.tick(25 * time.Millisecond)
	must.Len(t, 1, f.starts)
	must.EqOp(t, "s1", f.starts[0].Sidecar)

	f = settling()
	f.now = f.now.Add(settleQuiet + time.Millisecond)
	must.EqOp(t, ReasonOverload, f.replies[f.submit("a", 4)].Reason)

	f = settling()
	f.now = f.now.Add(warmupTime)
	must.EqOp(t, ReasonOverload, f.replies[f.submit("a", 4)].Reason)
}

// TestWaitingJobIsQueuedInTime covers a job that waits for missing sidecars until only
// settleReserve of its slack is left: it is then queued at the sidecar that is connected.
func TestWaitingJobIsQueuedInTime(t *testing.T) {
	f := newFixture(t, 0)
	f.core.SetExpectedSidecars(4)
	f.connect("s0")
	busy := f.state(0)
	busy.Turnover = 20 * time.Millisecond
	f.core.Updated(f.now, "s0", busy)
	f.submit("a", 1)
	must.Len(t, 0, f.starts)
	f.tick(150 * time.Millisecond)
	must.Len(t, 1, f.starts)
}
