package routing

import "time"

const (
	// defaultRunTime is assumed before any run time was declared or measured.
	defaultRunTime = 250 * time.Millisecond
	// measuredMinSamples is the number of measured run times from which the
	// run time declared by the caller is ignored.
	measuredMinSamples = 3
	// classSamples is the averaging window of a class's run time, in samples.
	classSamples = 64
	// maxClasses bounds the number of classes kept in memory, because callers
	// choose the class names.
	maxClasses = 4096
)

// estimator estimates the run time of a class of task on a target of mean
// speed. Its samples are run times divided by the slowness of the target, so that
// the estimate does not depend on which targets were chosen.
type estimator struct {
	classes map[classKey]*average
	overall average
}

func newEstimator() estimator {
	return estimator{classes: make(map[classKey]*average)}
}

// estimate returns the expected run time in seconds. The run time declared by the
// caller may be far off and is therefore used only as a prior: measured run times
// replace it gradually, and entirely from measuredMinSamples on.
func (e *estimator) estimate(key classKey, declared time.Duration) float64 {
	prior := declared.Seconds()
	if prior <= 0 {
		prior = e.overall.valueOr(defaultRunTime.Seconds())
	}
	runTime := e.classes[key]
	if runTime == nil {
		return prior
	}
	if runTime.samples >= measuredMinSamples {
		return runTime.value
	}
	weight := float64(runTime.samples) / measuredMinSamples
	return weight*runTime.value + (1-weight)*prior
}

// measured returns the average measured run time of a class in seconds, and
// whether there is one.
func (e *estimator) measured(key classKey) (float64, bool) {
	runTime := e.classes[key]
	if runTime == nil {
		return 0, false
	}
	return runTime.value, runTime.value > 0
}

// add adds a measured run time in seconds, divided by the target's slowness.
func (e *estimator) add(key classKey, seconds float64) {
	runTime := e.classes[key]
	if runTime == nil {
		if len(e.classes) >= maxClasses {
			clear(e.classes)
		}
		runTime = &average{}
		e.classes[key] = runTime
	}
	runTime.add(seconds, classSamples)
	e.overall.add(seconds, classSamples)
}
