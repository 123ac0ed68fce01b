package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// durationWindow is the number of most recent durations that an estimate uses.
	durationWindow = 512
	// durationsPerRefresh is the number of new durations after which the sorted
	// copy is rebuilt.
	durationsPerRefresh = 32
	// exceedProbability is the share of jobs whose longest task may exceed the
	// estimate.
	exceedProbability = 0.05
	// maxDurationAge is how long an estimate is valid without a new duration, so
	// that a caller whose tasks were slow once is not refused forever.
	maxDurationAge = 10 * time.Second
)

// maxDurationEstimator estimates the longest duration of n tasks from the recent
// task durations of a caller. The estimate is the 1-exceedProbability/n quantile of
// the recent durations: if durations are independent, the longest of n exceeds it
// with a probability of about exceedProbability.
type maxDurationEstimator struct {
	// recent is a ring buffer; next is the index that is overwritten next once it
	// is full.
	recent []time.Duration
	next   int
	// sinceRefresh is the number of durations added since the last refresh.
	sinceRefresh int
	// lastAdded is the time of the last call of add.
	lastAdded time.Time
	// sorted is a sorted copy of recent, made by the last refresh.
	sorted []time.Duration
}

// add records the time from sending a task to its end.
func (e *maxDurationEstimator) add(duration time.Duration, now time.Time) {
	e.lastAdded = now
	if len(e.recent) < durationWindow {
		e.recent = append(e.recent, duration)
	} else {
		e.recent[e.next] = duration
		e.next = (e.next + 1) % durationWindow
	}
	e.sinceRefresh++
	if e.sinceRefresh >= durationsPerRefresh {
		e.refresh()
	}
}

func (e *maxDurationEstimator) refresh() {
	e.sinceRefresh = 0
	e.sorted = append(e.sorted[:0], e.recent...)
	slices.Sort(e.sorted)
}

// estimate returns the estimated longest duration of the given number of tasks, or
// zero before the first refresh or without a duration within maxDurationAge.
func (e *maxDurationEstimator) estimate(tasks int, now time.Time) time.Duration {
	if len(e.sorted) == 0 || now.Sub(e.lastAdded) > maxDurationAge {
		return 0
	}
	quantile := 1 - exceedProbability/float64(tasks)
	rank := int(math.Ceil(quantile*float64(len(e.sorted)))) - 1
	return e.sorted[min(max(rank, 0), len(e.sorted)-1)]
}
