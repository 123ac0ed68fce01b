package ejection

import "time"

// target is the state of one target.
type target struct {
	window  window
	ejected bool
	// until is the end of the ejection time; probes are let through after it.
	until time.Time
	// level is the number of ejections that were not yet made good.
	level int
	// outstanding counts the tasks in progress, the last one sent at lastStart.
	// An ejected target is probed only when there is none, so that the next
	// result is known to be the probe's.
	outstanding int
	lastStart   time.Time
	// probing is set while a probe is in progress.
	probing   bool
	successes int
	// goodResults counts results since the target was restored.
	goodResults int
}

// ejectionTime doubles with each ejection, up to maxEjection.
func (t *target) ejectionTime() time.Duration {
	length := firstEjection
	for range t.level {
		length *= 2
		if length >= maxEjection {
			return maxEjection
		}
	}
	return length
}

func (t *target) state(now time.Time) State {
	if !t.ejected {
		return Healthy
	}
	if now.Before(t.until) {
		return Ejected
	}
	if t.outstanding > 0 && now.Sub(t.lastStart) < probeTimeout {
		return Ejected
	}
	return Probing
}

// end takes a task off those in progress and reports whether it was a probe.
func (t *target) end() bool {
	t.outstanding = max(0, t.outstanding-1)
	probe := t.probing
	t.probing = false
	return probe
}
