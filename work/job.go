package work

import "time"

// Job is a submission that is answered after its last task has ended.
type Job struct {
	ID JobID
	// Spec is passed unchanged to every task.
	Spec  string
	Steps []Step
	// BestEffort means that the job need not be stored. Its submission is answered
	// when the job has ended, and the job may run again if no answer was sent.
	BestEffort bool
	// Occurrences is how many times the steps run; 0 and 1 both mean once.
	Occurrences int
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool
}

// Step is a group of identical tasks.
type Step struct {
	Count int
	Need  Resources
	// Estimate is the caller's approximate run time of a task.
	Estimate time.Duration
	// After lists the indexes of the steps whose tasks must all be done first.
	After []int
	// Label is a label that the minion must have; empty means no requirement.
	Label string
	// Rack is the rack that holds the data; on other racks the tasks take longer.
	Rack string
	// MaxPerMinion bounds the tasks of the step on one minion; 0 means no bound.
	MaxPerMinion int
	// Unsupported is the first requested feature that is not implemented; empty if
	// all are supported.
	Unsupported string
}

// Tasks returns the total number of tasks in all steps.
func (j *Job) Tasks() int {
	total := 0
	for _, step := range j.Steps {
		total += step.Count
	}
	return total
}
