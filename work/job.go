package work

import (
	"errors"
	"time"
)

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 4096

// The errors of Job.Validate.
var (
	ErrNoSteps      = errors.New("a job needs steps")
	ErrInvalidStep  = errors.New("a step needs a positive count and comes after earlier steps only")
	ErrTooManyTasks = errors.New("the job has too many tasks")
)

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
	// Image is the image that the tasks run; empty if the job names none.
	Image string `json:",omitempty"`
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

// Validate returns an error unless the job can be run. A step may depend only on steps
// before it, which rules out cycles.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return ErrNoSteps
	}
	total := 0
	for index := range j.Steps {
		step := &j.Steps[index]
		if step.Count <= 0 || !step.comesAfterEarlier(index) {
			return ErrInvalidStep
		}
		if step.Count > MaxTasks-total {
			return ErrTooManyTasks
		}
		total += step.Count
	}
	return nil
}

// comesAfterEarlier reports whether the step at the index depends on earlier ones only.
func (s *Step) comesAfterEarlier(index int) bool {
	for _, before := range s.After {
		if before < 0 || before >= index {
			return false
		}
	}
	return true
}

// Has reports whether the task is one of the job.
func (j *Job) Has(task TaskKey) bool {
	return task.Job == j.ID && task.Step >= 0 && task.Step < len(j.Steps) && task.Index >= 0 && task.Index < j.Steps[task.Step].Count
}
