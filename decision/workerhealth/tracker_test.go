package workerhealth

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/work"
)

const estimate = 100 * time.Millisecond

// TestSlowMinionIsTriedAgain covers a minion that was slow for a while: when
// nothing runs there, what was learned fades.
func TestSlowMinionIsTriedAgain(t *testing.T) {
	judge, now := New(), time.Unix(1000, 0)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		judge.RecordEnd(now, "a", work.EndDone, 6*estimate, estimate)
	}
	must.Greater(t, 3.0, judge.Pace(now))
	must.Less(t, 1.1, judge.Pace(now.Add(5*paceDecayTime)))
}

// TestOneJobMakesNoSuspect covers a job that fails everywhere.
func TestOneJobMakesNoSuspect(t *testing.T) {
	judge, now := New(), time.Unix(1000, 0)
	for range 20 {
		judge.RecordEnd(now, "poison", work.EndFailed, time.Millisecond, estimate)
	}
	must.False(t, judge.Suspect())
}

// TestFailingMinionIsOnTrial covers a minion that fails all that it starts.
func TestFailingMinionIsOnTrial(t *testing.T) {
	judge, now := New(), time.Unix(1000, 0)
	for _, job := range []string{"a", "b", "c"} {
		judge.RecordEnd(now, job, work.EndFailed, time.Millisecond, estimate)
	}
	must.True(t, judge.Suspect())
	must.False(t, judge.TrialDue(now))
	now = now.Add(trialDelay)
	must.True(t, judge.TrialDue(now))
	judge.RecordEnd(now, "d", work.EndFailed, time.Millisecond, estimate)
	must.False(t, judge.TrialDue(now))
	judge.RecordEnd(now, "e", work.EndDone, estimate, estimate)
	must.False(t, judge.Suspect())
}
