package heldjob

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// runsLeft is how long runs go on after the ownership has ended in the tests of withdrawals.
const runsLeft = 3 * time.Second

// startThenLoseOwnership starts a stored and a best-effort job, whose runs may go on for
// runsLeft without an ownership.
func startThenLoseOwnership(t *testing.T) (f *fixture, stored StartTasks) {
	f = newFixture(t, 1)
	f.own()
	f.submitStored("j", 1)
	f.confirmCreates()
	f.submitWithTimeout("b", 1, time.Hour)
	starts := f.replyToStarts(session.RefusedNone)
	must.Len(t, 2, starts)
	f.core.OwnUntil(f.now, f.now)
	f.core.LetRunUntil(f.now.Add(runsLeft))
	return f, starts[0]
}

// TestRunsAreWithdrawnBeforeOthersStartThem guards against two runs of a task at the same time:
// an entry that is cut off from the store and the others keeps up a run that they start again.
// It asks once; the run's end is still the entry's, which starts the task again if no other
// entry has taken the job over.
func TestRunsAreWithdrawnBeforeOthersStartThem(t *testing.T) {
	f, stored := startThenLoseOwnership(t)
	f.tick(runsLeft)
	must.Len(t, 0, f.stops)
	f.tick(time.Millisecond)
	must.Eq(t, []StopJob{{Sidecar: "s0", Job: "j", UpTo: 2}}, f.stops)
	f.tick(time.Second)
	must.Len(t, 1, f.stops)
	f.endRunsNumbered(stored, work.EndStopped, 1)
	f.tick(time.Second)
	must.Len(t, 0, f.starts)
	f.own()
	f.tick(placementRetryInterval)
	must.EqOp(t, "j", string(f.starts[0].Job))
}

// TestRunsGoOnWhileOthersConfirmTheOwnership guards against an outage of the store that ends
// the runs of all stored jobs.
func TestRunsGoOnWhileOthersConfirmTheOwnership(t *testing.T) {
	f, _ := startThenLoseOwnership(t)
	for range 20 {
		f.core.LetRunUntil(f.now.Add(runsLeft))
		f.tick(runsLeft)
	}
	f.own()
	f.tick(time.Minute)
	must.Len(t, 0, f.stops)
}

// TestWithdrawnRunIsStoppedWhenItsSidecarIsBack guards against a run that goes on because the
// entry claims it when it opens a session: the sidecar was not connected when the runs were
// withdrawn.
func TestWithdrawnRunIsStoppedWhenItsSidecarIsBack(t *testing.T) {
	f, _ := startThenLoseOwnership(t)
	f.core.Disconnected("s0", f.now)
	f.tick(runsLeft + time.Millisecond)
	must.Len(t, 0, f.stops)
	must.Len(t, 1, f.connect("s0"))
	f.collect()
	must.Len(t, 1, f.stops)
	must.EqOp(t, "j", string(f.stops[0].Job))
}

// TestRunsOfUnconfirmedJobEndWithTheFormerOwnership guards against a new ownership of an entry
// that keeps up runs of jobs which another entry may have taken over under the former one.
func TestRunsOfUnconfirmedJobEndWithTheFormerOwnership(t *testing.T) {
	for _, written := range []bool{false, true} {
		f, _ := startThenLoseOwnership(t)
		f.core.ReacquireJobs()
		f.collect()
		f.own()
		f.core.LetRunUntil(f.now.Add(time.Hour))
		if written {
			f.answerWrites(true)
			f.answerWrites(true)
		}
		f.tick(runsLeft + time.Millisecond)
		if written {
			must.Len(t, 0, f.stops)
			continue
		}
		must.Len(t, 1, f.stops)
		must.EqOp(t, "j", string(f.stops[0].Job))
	}
}
