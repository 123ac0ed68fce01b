package trace

import "time"

// Task is one task of a job.
type Task struct {
	Class string
	// Run is the true run time on a worker of speed 1.
	Run time.Duration
	// Declared is the run time that the caller declares; zero means none.
	Declared time.Duration
}
