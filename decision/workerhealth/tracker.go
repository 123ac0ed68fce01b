package workerhealth

import (
	"math"
	"time"

	"github.com/figring/figring/work"
)

const (
	// suspectFailedJobs is the number of different jobs that have to fail in a row
	// to make the minion suspect.
	suspectFailedJobs = 3
	// suspectStalls is the number of runs that have to stall in a row to make the
	// minion suspect.
	suspectStalls = 2
	// trialDelay is the time after a failed trial before the next one.
	trialDelay = time.Second
	// trialPatience is how long trial tasks run until as many more may run beside them.
	// Nothing is known of a long run before it ends, and others can't wait that long.
	trialPatience = 2 * time.Second
	// maxTrialDoublings bounds how often the number of trial tasks doubles.
	maxTrialDoublings = 10
	// maxPaceWeight bounds the estimated work that weighs in the moving mean of the
	// pace. Weighting runs by their estimated work keeps the many wrong estimates
	// of short tasks from making the minion look slow.
	maxPaceWeight = 3 * time.Second
	// maxRatio bounds the run time of one run as a multiple of its estimate.
	maxRatio = 10
	// paceDecayTime is the time in which the measured pace loses two thirds of its
	// weight while no run ends on the minion.
	paceDecayTime = 2 * time.Second
)

// Tracker tracks the health of one minion. It is not safe for concurrent use.
type Tracker struct {
	failedJobs map[string]bool
	stalls     int
	suspect    bool
	// failedAt is when the newest run failed or stalled that kept or made the minion suspect.
	failedAt time.Time
	// nextTrial is the time before which a suspect minion gets no task.
	nextTrial     time.Time
	pace          float64
	paceUpdatedAt time.Time
	// paceWeight is the estimated work behind the pace, up to maxPaceWeight.
	paceWeight time.Duration
	failures   failureShare
}

// New returns a tracker that trusts the minion.
func New() *Tracker {
	return &Tracker{failedJobs: make(map[string]bool), pace: 1}
}

// Reset returns the tracker to its initial state for a new minion incarnation.
func (t *Tracker) Reset() { *t = *New() }

// RecordEnd records how a run ended, how long it took and the caller's estimate.
func (t *Tracker) RecordEnd(now time.Time, job string, end work.End, took, estimate time.Duration) {
	if end == work.EndDone || end == work.EndFailed {
		t.failures.record(now, job, end == work.EndFailed)
	}
	switch end {
	case work.EndDone:
		clear(t.failedJobs)
		t.stalls = 0
		t.suspect = false
		t.updatePace(now, took, estimate)
	case work.EndFailed:
		t.failedJobs[job] = true
		if t.suspect || len(t.failedJobs) >= suspectFailedJobs {
			t.markSuspect(now)
		}
	}
}

// RecordStall records a run that made no progress.
func (t *Tracker) RecordStall(now time.Time) {
	t.stalls++
	if t.suspect || t.stalls >= suspectStalls {
		t.markSuspect(now)
	}
}

func (t *Tracker) markSuspect(now time.Time) {
	t.suspect = true
	t.failedAt = now
	t.nextTrial = now.Add(trialDelay)
}

// TrialDue reports whether a suspect minion may get its next trial task.
func (t *Tracker) TrialDue(now time.Time) bool { return !now.Before(t.nextTrial) }

// Trials returns how many trial tasks a suspect minion may run at a time, if the oldest of
// its runs was started at that time: one, and twice as many after each trialPatience in
// which no run has failed.
func (t *Tracker) Trials(now, oldest time.Time) int {
	since := oldest
	if t.failedAt.After(since) {
		since = t.failedAt
	}
	doublings := int(now.Sub(since) / trialPatience)
	return 1 << min(max(doublings, 0), maxTrialDoublings)
}

func (t *Tracker) updatePace(now time.Time, took, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	t.pace = t.Pace(now)
	t.paceUpdatedAt = now
	t.paceWeight = min(t.paceWeight+estimate, maxPaceWeight)
	ratio := min(float64(took)/float64(estimate), maxRatio)
	t.pace += float64(estimate) / float64(t.paceWeight+estimate) * (ratio - t.pace)
}

// FailureShare returns the share of the latest ends that are failures, from 0 to 1. It
// returns to 0 while no run ends.
func (t *Tracker) FailureShare(now time.Time) float64 { return t.failures.share(now) }

// Suspect reports whether the minion gets only trial tasks.
func (t *Tracker) Suspect() bool { return t.suspect }

// Pace returns the mean run time as a multiple of the estimate. It returns to 1
// while no run ends, so that a minion that was slow gets work again.
func (t *Tracker) Pace(now time.Time) float64 {
	kept := math.Exp(-float64(now.Sub(t.paceUpdatedAt)) / float64(paceDecayTime))
	return 1 + (t.pace-1)*kept
}
