package routing

import "time"

// Request describes a task that needs a target.
type Request struct {
	Caller string
	Class  string
	// Declared is the caller's own estimate of the run time; zero if unknown.
	Declared time.Duration
	// Size is the memory that the caller declares, in bytes.
	Size int64
	// Zone is the entry's own zone.
	Zone string
	// Exclude names sidecars that must not be chosen.
	Exclude []string
}

// classKey identifies the kind of a task: run times are estimated by it.
type classKey struct {
	caller string
	class  string
}
