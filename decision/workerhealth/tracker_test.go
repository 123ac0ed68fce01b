package workerhealth

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/work"
)

const estimate = 100 * time.Millisecond

// TestPaceDecaysWhileIdle covers a minion that was slow for a while. Its
// measured pace decays while no run ends there.
func TestPaceDecaysWhileIdle(t *testing.T) {
	tracker, now := New(), time.Unix(1000, 0)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		tracker.RecordEnd(now, "a", work.EndDone, 6*estimate, estimate)
	}
	must.Greater(t, 3.0, tracker.Pace(now))
	must.Less(t, 1.1, tracker.Pace(now.Add(5*paceDecayTime)))
}

// TestFailuresOfOneJobAreNotSuspect covers a job that fails on every minion.
func TestFailuresOfOneJobAreNotSuspect(t *testing.T) {
	tracker, now := New(), time.Unix(1000, 0)
	for range 20 {
		tracker.RecordEnd(now, "poison", work.EndFailed, time.Millisecond, estimate)
	}
	must.False(t, tracker.Suspect())
}

// TestFailingMinionGetsTrials covers a minion on which every task fails.
func TestFailingMinionGetsTrials(t *testing.T) {
	tracker, now := New(), time.Unix(1000, 0)
	for _, job := range []string{"a", "b", "c"} {
		tracker.RecordEnd(now, job, work.EndFailed, time.Millisecond, estimate)
	}
	must.True(t, tracker.Suspect())
	must.False(t, tracker.TrialDue(now))
	now = now.Add(trialDelay)
	must.True(t, tracker.TrialDue(now))
	tracker.RecordEnd(now, "d", work.EndFailed, time.Millisecond, estimate)
	must.False(t, tracker.TrialDue(now))
	tracker.RecordEnd(now, "e", work.EndDone, estimate, estimate)
	must.False(t, tracker.Suspect())
}
