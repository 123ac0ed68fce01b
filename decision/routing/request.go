package routing

import "time"

// Request describes a task that needs a target.
type Request struct {
	Caller string
	Class  string
	// Declared is the run time declared by the caller; zero if there is none.
	Declared time.Duration
	// Size is the memory declared by the caller, in bytes.
	Size int64
	// Zone is the availability zone of the entry.
	Zone string
	// Exclude names sidecars that must not be chosen.
	Exclude []string
}

// classKey identifies a class of task of one caller. Run times are estimated and
// failures compared per class.
type classKey struct {
	caller string
	class  string
}
