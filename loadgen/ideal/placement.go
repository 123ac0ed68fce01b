package ideal

import "time"

// Placement is one task in its slot. Times count from the start of the run.
type Placement struct {
	// Job and Worker are indexes in the trace and in the list of workers.
	Job    int
	Worker int
	Start  time.Duration
	End    time.Duration
}
