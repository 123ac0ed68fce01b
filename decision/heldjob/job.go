package heldjob

import (
	"time"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/work"
)

// taskPhase is how far a task has come.
type taskPhase int

const (
	// phaseUnplaced tasks have no run.
	phaseUnplaced taskPhase = iota
	// phaseSent tasks were sent to a sidecar and not refused.
	phaseSent
	// phaseLost tasks were at a sidecar that is not connected.
	phaseLost
	// phaseDone tasks are done.
	phaseDone
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
	checkpoint      work.Checkpoint
	avoidedSidecars map[string]bool
}

// job is a job whose callers wait.
type job struct {
	id              work.JobID
	spec            string
	steps           []work.Step
	route           manifest.Route
	tasks           []*task
	unfinishedTasks int
	// unfinishedByStep counts the tasks of each step that are not done.
	unfinishedByStep []int

	submitted time.Time
	// objectiveEnd is the end of the latency objective, by the caller's estimate.
	objectiveEnd time.Time
	// answerDeadline is when an answer is of no use to the caller any more.
	answerDeadline time.Time
	// mayHaveRun is true once an order of the job was not refused; "not run" can't
	// be answered then.
	mayHaveRun bool
	waiters    map[uint64]bool
	// unplacedTasks counts the tasks without a run.
	unplacedTasks int
	nextPlacement time.Time
	// refusedReplies counts the answers that refused tasks.
	refusedReplies int
	// stored is set for a stored job, which nobody waits for.
	stored *storedState
}

// eligible reports whether all steps that a step comes after are done.
func (j *job) eligible(step int) bool {
	for _, before := range j.steps[step].After {
		if j.unfinishedByStep[before] > 0 {
			return false
		}
	}
	return true
}

func (j *job) estimatedRun() time.Duration {
	longest := time.Duration(0)
	for _, step := range j.steps {
		longest = max(longest, step.Estimate)
	}
	return longest * time.Duration(len(j.steps))
}
