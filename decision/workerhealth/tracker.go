package workerhealth

import (
	"math"
	"time"

	"github.com/figring/figring/work"
)

const (
	// suspectFailedJobs is the number of different jobs that have to fail in a row.
	suspectFailedJobs = 3
	// suspectStalls is the number of stalled runs in a row.
	suspectStalls = 2
	// trialDelay is the time without a trial after a failed one.
	trialDelay = time.Second
	// maxPaceWeight is the estimated work in the moving means of the pace. Means of
	// work, and not of ratios, keep the many wrong estimates of short tasks
	// from looking like a slow minion.
	maxPaceWeight = 3 * time.Second
	// maxRatio bounds the run time of one run as a multiple of its estimate.
	maxRatio = 10
	// paceDecayTime is the time in which what was learned of the pace loses two
	// thirds of its weight while nothing ends on the minion.
	paceDecayTime = 2 * time.Second
)

// Tracker judges one minion. It is not safe for concurrent use.
type Tracker struct {
	failedJobs  map[string]bool
	stalls  int
	suspect bool
	// nextTrial is the time before which a suspect minion gets nothing.
	nextTrial time.Time
	pace      float64
	paceUpdatedAt time.Time
	// paceWeight is the estimated work that the pace rests on, up to paceWork.
	paceWeight time.Duration
}

// New returns a judge that trusts the minion.
func New() *Tracker {
	return &Tracker{failedJobs: make(map[string]bool), pace: 1}
}

// Reset forgets everything: the minion is of a new incarnation.
func (j *Tracker) Reset() { *j = *New() }

// RecordEnd takes the end of a run with its time and the caller's estimate.
func (j *Tracker) RecordEnd(now time.Time, job string, end work.End, took, estimate time.Duration) {
	switch end {
	case work.EndDone:
		clear(j.failedJobs)
		j.stalls = 0
		j.suspect = false
		j.updatePace(now, took, estimate)
	case work.EndFailed:
		j.failedJobs[job] = true
		if j.suspect || len(j.failedJobs) >= suspectFailedJobs {
			j.markSuspect(now)
		}
	}
}

// RecordStall takes note of a run that made no progress.
func (j *Tracker) RecordStall(now time.Time) {
	j.stalls++
	if j.suspect || j.stalls >= suspectStalls {
		j.markSuspect(now)
	}
}

func (j *Tracker) markSuspect(now time.Time) {
	j.suspect = true
	j.nextTrial = now.Add(trialDelay)
}

// TrialDue reports whether a suspect minion may get its next trial.
func (j *Tracker) TrialDue(now time.Time) bool { return !now.Before(j.nextTrial) }

func (j *Tracker) updatePace(now time.Time, took, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	j.pace = j.Pace(now)
	j.paceUpdatedAt = now
	j.paceWeight = min(j.paceWeight+estimate, maxPaceWeight)
	ratio := min(float64(took)/float64(estimate), maxRatio)
	j.pace += float64(estimate) / float64(j.paceWeight+estimate) * (ratio - j.pace)
}

// Suspect reports whether the minion gets no more than trials.
func (j *Tracker) Suspect() bool { return j.suspect }

// Pace returns the mean run time as a multiple of the estimate. It goes back to
// one while nothing ends, so that a minion that was slow gets work again.
func (j *Tracker) Pace(now time.Time) float64 {
	kept := math.Exp(-float64(now.Sub(j.paceUpdatedAt)) / float64(paceDecayTime))
	return 1 + (j.pace-1)*kept
}
