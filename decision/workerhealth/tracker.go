package workerhealth

import (
	"math"
	"time"

	"github.com/figring/figring/work"
)

const (
	// suspectJobs is the number of different jobs that have to fail in a row.
	suspectJobs = 3
	// suspectStalls is the number of stalled runs in a row.
	suspectStalls = 2
	// trialPause is the time without a trial after a failed one.
	trialPause = time.Second
	// paceWork is the estimated work in the moving means of the pace. Means of
	// work, and not of ratios, keep the many wrong estimates of short tasks
	// from looking like a slow minion.
	paceWork = 3 * time.Second
	// maxRatio bounds the run time of one run as a multiple of its estimate.
	maxRatio = 10
	// forgetTime is the time in which what was learned of the pace loses two
	// thirds of its weight while nothing ends on the minion.
	forgetTime = 2 * time.Second
)

// Tracker judges one minion. It is not safe for concurrent use.
type Tracker struct {
	failed  map[string]bool
	stalls  int
	suspect bool
	// nextTrial is the time before which a suspect minion gets nothing.
	nextTrial time.Time
	pace      float64
	learnedAt time.Time
	// workWeight is the estimated work that the pace rests on, up to paceWork.
	workWeight time.Duration
}

// New returns a judge that trusts the minion.
func New() *Tracker {
	return &Tracker{failed: make(map[string]bool), pace: 1}
}

// Reset forgets everything: the minion is of a new incarnation.
func (j *Tracker) Reset() { *j = *New() }

// RecordEnd takes the end of a run with its time and the caller's estimate.
func (j *Tracker) RecordEnd(now time.Time, job string, end work.End, took, estimate time.Duration) {
	switch end {
	case work.EndDone:
		clear(j.failed)
		j.stalls = 0
		j.suspect = false
		j.learn(now, took, estimate)
	case work.EndFailed:
		j.failed[job] = true
		if j.suspect || len(j.failed) >= suspectJobs {
			j.distrust(now)
		}
	}
}

// RecordStall takes note of a run that made no progress.
func (j *Tracker) RecordStall(now time.Time) {
	j.stalls++
	if j.suspect || j.stalls >= suspectStalls {
		j.distrust(now)
	}
}

func (j *Tracker) distrust(now time.Time) {
	j.suspect = true
	j.nextTrial = now.Add(trialPause)
}

// TrialDue reports whether a suspect minion may get its next trial.
func (j *Tracker) TrialDue(now time.Time) bool { return !now.Before(j.nextTrial) }

func (j *Tracker) learn(now time.Time, took, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	j.pace = j.Pace(now)
	j.learnedAt = now
	j.workWeight = min(j.workWeight+estimate, paceWork)
	ratio := min(float64(took)/float64(estimate), maxRatio)
	j.pace += float64(estimate) / float64(j.workWeight+estimate) * (ratio - j.pace)
}

// Suspect reports whether the minion gets no more than trials.
func (j *Tracker) Suspect() bool { return j.suspect }

// Pace returns the mean run time as a multiple of the estimate. It goes back to
// one while nothing ends, so that a minion that was slow gets work again.
func (j *Tracker) Pace(now time.Time) float64 {
	kept := math.Exp(-float64(now.Sub(j.learnedAt)) / float64(forgetTime))
	return 1 + (j.pace-1)*kept
}
