package ejection

import "time"

const (
	// windowResults is the number of latest results that are judged per target.
	windowResults = 32
	// quickSamples is the number of results from which a target that fails
	// nearly all of them is ejected.
	quickSamples = 3
	// quickExcess is the excess over the others' failure ratio for that.
	quickExcess = 0.75
	// steadySamples is the number of results from which a lesser excess counts.
	steadySamples = 20
	// steadyExcess is the excess over the others' failure ratio for that.
	steadyExcess = 0.3
	// minOthers is the number of results of other targets that a comparison needs.
	minOthers = 3
	// firstEjection is the time of a first ejection; it doubles with each.
	firstEjection = 5 * time.Second
	// maxEjection bounds the time of an ejection.
	maxEjection = 60 * time.Second
	// probesToRestore is the number of probes in a row that must succeed.
	probesToRestore = 3
	// probeTimeout is how long tasks in progress keep an ejected target from
	// being probed.
	probeTimeout = 30 * time.Second
	// maxClasses bounds the classes remembered; callers choose their names.
	maxClasses = 4096
	// DefaultMaxEjectionPercent is the largest share of targets ejected at once.
	DefaultMaxEjectionPercent = 30
)
