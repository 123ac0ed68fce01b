package trace

import "time"

// Task is one task of a job.
type Task struct {
	Class string
	// Run is the true run time at a worker of speed 1.
	Run time.Duration
	// Declared is what the caller says; zero means that it says nothing.
	Declared time.Duration
}
