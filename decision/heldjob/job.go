package heldjob

import (
	"slices"
	"time"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// taskPhase is the state of a task in its life cycle.
type taskPhase int

const (
	// phaseUnplaced means that no run of the task can be active.
	phaseUnplaced taskPhase = iota
	// phaseSent means that the task was sent to a sidecar, which has not refused it.
	phaseSent
	// phaseLost means that the task was sent to a sidecar that is not connected now.
	phaseLost
	// phaseDone means that the task is done.
	phaseDone
	// phaseStopped means that the job has ended and the run of the task was stopped.
	phaseStopped
)

type task struct {
	key   work.TaskKey
	step  int
	phase taskPhase
	// sidecar is the name of the sidecar that has the task among its placed ones. It is
	// set in phaseSent and phaseLost only.
	sidecar string
	// epoch is that of the order by which the task was sent; stored jobs only.
	epoch session.Epoch
	// failures is the number of failed runs.
	failures int
	// checkpoint is the newest checkpoint known of a run of the task.
	checkpoint      work.Checkpoint
	avoidedSidecars map[string]bool
	// beginsAt is when the run that a sidecar has accepted counts as begun; the zero time
	// if there is none. A run in the sidecar's queue is handed back by then unless it has
	// started.
	beginsAt time.Time
}

// attempt returns the number of the run that the task is at or gets next. Only failed runs
// count.
func (t *task) attempt() int { return t.failures + 1 }

// job is a job that has not ended: a best-effort job, whose callers wait for its end,
// or a stored job.
type job struct {
	id              work.JobID
	spec            string
	steps           []work.Step
	route           manifest.Route
	tasks           jobTasks
	taskCount       int
	unfinishedTasks int
	// unfinishedByStep is the number of tasks of each step that are not done.
	unfinishedByStep []int

	submitted time.Time
	// objectiveEnd is when the latency objective ends, computed from the caller's
	// estimate.
	objectiveEnd time.Time
	// answerDeadline is when an answer is no longer of use to the caller.
	answerDeadline time.Time
	// mayHaveRun is true once a run of the job has ended or, for a best-effort job, a
	// sidecar has accepted a task of it; Refused can't be answered then.
	mayHaveRun bool
	waiters    map[uint64]bool
	// classWork is the work by which the job counts in its class, in thousandths of a
	// core times seconds.
	classWork float64
	// unplacedTasks is the number of tasks in phaseUnplaced; 0 once a stored job has
	// ended.
	unplacedTasks int
	nextPlacement time.Time
	// refusedReplies is the number of replies that refused tasks of the job.
	refusedReplies int
	// yields is true while a task of the job leaves the room of its route to new jobs.
	yields bool
	// memory is what the job counts for in the entry's memory.
	memory memoryPart
	// stored is set for a stored job, for whose end no caller waits.
	stored *storedState
}

// eligible reports whether all steps on which the step depends are done.
func (j *job) eligible(step int) bool {
	for _, before := range j.steps[step].After {
		if j.unfinishedByStep[before] > 0 {
			return false
		}
	}
	return true
}

// begun reports whether a task of the job has begun, as far as the entry knows.
func (j *job) begun(now time.Time) bool {
	if j.mayHaveRun {
		return true
	}
	return slices.ContainsFunc(j.tasks.states, func(task *task) bool {
		return !task.beginsAt.IsZero() && !now.Before(task.beginsAt)
	})
}

// estimatedRun returns an upper bound of the estimated run time of the job, as if its
// steps ran one after the other: the longest estimate of a step times their number.
func (j *job) estimatedRun() time.Duration {
	longest := time.Duration(0)
	for _, step := range j.steps {
		longest = max(longest, step.Estimate)
	}
	return longest * time.Duration(len(j.steps))
}
