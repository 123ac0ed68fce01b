package work

import "time"

// Job is a submission whose answer is given when its last task has ended.
type Job struct {
	ID JobID
	// Spec is handed to every task unchanged.
	Spec  string
	Steps []Step
	// BestEffort means that the job need not be stored: its submission is
	// answered when it has ended, and it may run again when nothing was
	// answered.
	BestEffort bool
	// Occurrences is the number of times that the steps run; 0 and 1 mean once.
	Occurrences int
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool
}

// Step is a number of equal tasks.
type Step struct {
	Count int
	Need  Resources
	// Estimate is the caller's rough guess of a task's run time.
	Estimate time.Duration
	// After lists the steps whose tasks must all be done first.
	After []int
	// Label is one that the minion must have; empty for none.
	Label string
	// Rack names the rack with the data; elsewhere the tasks take longer.
	Rack string
	// MaxPerMinion bounds the tasks of the step on one minion; 0 for no bound.
	MaxPerMinion int
	// Unsupported names the first feature that the step asks for and that is
	// not built; empty when there is none.
	Unsupported string
}

// Tasks returns the number of tasks in all steps.
func (j *Job) Tasks() int {
	total := 0
	for _, step := range j.Steps {
		total += step.Count
	}
	return total
}
