package ejection

import "time"

const (
	// windowSize is the number of latest results that are kept per target. It
	// is the number of bits of window.failures.
	windowSize = 32
	// severeMinResults is the number of results from which a target that fails
	// nearly all of its tasks is ejected.
	severeMinResults = 3
	// severeExcess is how far the failure ratio of such a target must exceed
	// that of the other targets.
	severeExcess = 0.75
	// moderateMinResults is the number of results from which moderateExcess is
	// enough for an ejection.
	moderateMinResults = 20
	// moderateExcess is the smaller excess over the failure ratio of the other
	// targets that applies from moderateMinResults on.
	moderateExcess = 0.3
	// minOtherResults is the least number of results of other targets that a
	// comparison needs.
	minOtherResults = 3
	// baseEjectionTime is the duration of the first ejection. It doubles with
	// each further one.
	baseEjectionTime = 5 * time.Second
	// maxEjectionTime bounds the duration of an ejection.
	maxEjectionTime = 60 * time.Second
	// probesToRestore is the number of successive probes that must succeed
	// before a target is restored.
	probesToRestore = 3
	// probeTimeout is the time, from the last task sent, for which outstanding
	// tasks keep an ejected target from being probed.
	probeTimeout = 30 * time.Second
	// maxClasses bounds the number of classes kept in memory, because callers
	// choose the class names.
	maxClasses = 4096
	// DefaultMaxEjectionPercent is the largest share of targets, in percent,
	// that is ejected at once unless another is set.
	DefaultMaxEjectionPercent = 30
)
