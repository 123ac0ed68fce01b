package heldjob

import (
	"time"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/work"
)

// taskPhase is how far a task has come.
type taskPhase int

const (
	// unplaced tasks have no run.
	unplaced taskPhase = iota
	// ordered tasks were sent to a sidecar and not refused.
	ordered
	// lost tasks were at a sidecar that is not connected.
	lost
	// ended tasks are done.
	ended
)

// task is one task of a job.
type task struct {
	key     work.TaskKey
	step    int
	phase   taskPhase
	sidecar string
	// failures counts the runs that failed.
	failures int
	// checkpoint is the newest that a run of the task is known to have saved.
	checkpoint work.Checkpoint
	avoided    map[string]bool
}

// job is a job whose callers wait.
type job struct {
	id       work.JobID
	spec     string
	steps    []work.Step
	route    manifest.Route
	tasks    []*task
	openLeft int
	// openOf counts the tasks of each step that are not done.
	openOf []int

	submitted time.Time
	// goal is the end of the latency objective, by the caller's estimate.
	goal time.Time
	// useless is when an answer is of no use to the caller any more.
	useless time.Time
	// begun is true once an order of the job was not refused; "not run" can't
	// be answered then.
	begun   bool
	waiters map[uint64]bool
	// unplacedLeft counts the tasks without a run.
	unplacedLeft int
	nextTry      time.Time
	// bounces counts the answers that refused tasks.
	bounces int
	// kept is set for a stored job, which nobody waits for.
	kept *kept
}

// eligible reports whether all steps that a step comes after are done.
func (j *job) eligible(step int) bool {
	for _, before := range j.steps[step].After {
		if j.openOf[before] > 0 {
			return false
		}
	}
	return true
}

func (j *job) chain() time.Duration {
	longest := time.Duration(0)
	for _, step := range j.steps {
		longest = max(longest, step.Estimate)
	}
	return longest * time.Duration(len(j.steps))
}
