package routing

import "time"

const (
	// defaultRunTime is assumed for a class that nothing is known of.
	defaultRunTime = 250 * time.Millisecond
	// declaredWeightSamples is how many measured run times outweigh what the
	// caller declares.
	declaredWeightSamples = 3
	// classMemory is the number of run times that a class's estimate looks
	// back on.
	classMemory = 64
	// maxClasses bounds the classes remembered; callers choose their names.
	maxClasses = 4096
)

// estimator estimates the run time of a class of task on a target of mean
// speed. Measured times are divided by the target's slowness first, so that the
// estimate does not move with the choice of targets.
type estimator struct {
	classes map[classKey]*average
	overall average
}

func newEstimator() estimator {
	return estimator{classes: make(map[classKey]*average)}
}

// expect returns the expected run time in seconds. What the caller declares is
// only a prior: it may be far off.
func (e *estimator) expect(key classKey, declared time.Duration) float64 {
	prior := declared.Seconds()
	if prior <= 0 {
		prior = e.overall.or(defaultRunTime.Seconds())
	}
	known := e.classes[key]
	if known == nil {
		return prior
	}
	if known.samples >= declaredWeightSamples {
		return known.value
	}
	share := float64(known.samples) / declaredWeightSamples
	return share*known.value + (1-share)*prior
}

// known returns the measured run time of a class in seconds.
func (e *estimator) known(key classKey) (float64, bool) {
	found := e.classes[key]
	if found == nil {
		return 0, false
	}
	return found.value, found.value > 0
}

func (e *estimator) add(key classKey, seconds float64) {
	found := e.classes[key]
	if found == nil {
		if len(e.classes) >= maxClasses {
			clear(e.classes)
		}
		found = &average{}
		e.classes[key] = found
	}
	found.add(seconds, classMemory)
	e.overall.add(seconds, classMemory)
}
