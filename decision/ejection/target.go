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
	// probing is set while a probe is in progress, begun at probeStart.
	probing    bool
	probeStart time.Time
	successes  int
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
		return Open
	}
	if now.Before(t.until) {
		return Ejected
	}
	if t.probing && now.Sub(t.probeStart) < probeTimeout {
		return Ejected
	}
	return Probing
}
