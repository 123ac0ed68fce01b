package plot

import "time"

// Work is one task that ran, in times from the start of the run.
type Work struct {
	Start time.Duration
	End   time.Duration
}

// Mark is a vertical line with a text, such as at a fault.
type Mark struct {
	At   time.Duration
	Text string
}
