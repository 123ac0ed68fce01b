package ideal

import "time"

// Placement is the assignment of one task to a worker. Times are relative to
// the start of the run.
type Placement struct {
	// Job and Worker are indexes into the trace and the list of workers.
	Job    int
	Worker int
	Start  time.Duration
	End    time.Duration
}
