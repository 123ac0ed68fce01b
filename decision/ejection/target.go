package ejection

import "time"

// target holds the results and the ejection state of one target.
type target struct {
	window  window
	ejected bool
	// ejectedUntil is the end of the ejection time; probes are allowed from then
	// on.
	ejectedUntil time.Time
	// backoffLevel determines the duration of the next ejection. It grows with
	// each ejection and falls by one for every windowSize results without one.
	backoffLevel int
	// outstanding counts the tasks in progress. An ejected target is probed
	// only when there is none, so that the next result is known to be the
	// probe's. lastStart is when the last task was sent.
	outstanding int
	lastStart   time.Time
	// probing is set while a probe is in progress.
	probing bool
	// probeSuccesses counts the successful probes in a row.
	probeSuccesses int
	// resultsAtLevel counts the results, successes or failures, since the target
	// was restored or backoffLevel last fell.
	resultsAtLevel int
}

// ejectionTime returns the duration of the next ejection: baseEjectionTime,
// doubled for each backoffLevel, and at most maxEjectionTime.
func (t *target) ejectionTime() time.Duration {
	length := baseEjectionTime
	for range t.backoffLevel {
		length *= 2
		if length >= maxEjectionTime {
			return maxEjectionTime
		}
	}
	return length
}

func (t *target) state(now time.Time) State {
	if !t.ejected {
		return Healthy
	}
	if now.Before(t.ejectedUntil) {
		return Ejected
	}
	if t.outstanding > 0 && now.Sub(t.lastStart) < probeTimeout {
		return Ejected
	}
	return Probing
}

// endTask removes a task from the outstanding ones and reports whether it was a
// probe.
func (t *target) endTask() bool {
	t.outstanding = max(0, t.outstanding-1)
	probe := t.probing
	t.probing = false
	return probe
}
