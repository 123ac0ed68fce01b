package jobstate

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// firstErrorStatus is the lowest status of a task that counts as failed.
const firstErrorStatus = 400

// Config describes a job.
type Config struct {
	Key   model.JobKey
	Tasks int
	// Deadline is when the job fails unless it has ended.
	Deadline time.Time
	// MaxAttempts bounds the dispatches of one task.
	MaxAttempts int
	// Adopting says that another entry claimed the job. Until Adopted tells what
	// the sidecars know, any of its tasks may have been started.
	Adopting bool
}

// Job is the state of one job. It is not safe for concurrent use.
type Job struct {
	config  Config
	claimed bool
	ended   bool
	done    int
	tasks   []task
	results []model.TaskResult
	stats   Stats
}

// New returns a job whose claim is not yet written.
func New(config Config) *Job {
	return &Job{
		config:  config,
		tasks:   make([]task, config.Tasks),
		results: make([]model.TaskResult, config.Tasks),
	}
}

// Key returns the job's key.
func (j *Job) Key() model.JobKey { return j.config.Key }

// Deadline returns the time at which DeadlinePassed is due.
func (j *Job) Deadline() time.Time { return j.config.Deadline }

// Ended reports whether the job has its answer.
func (j *Job) Ended() bool { return j.ended }

// Stats returns the counts of events that had no effect.
func (j *Job) Stats() Stats { return j.stats }

// Attempt returns the number to give to the next dispatch of a task. It
// reports false when the task must not be dispatched now.
func (j *Job) Attempt(index int) (int, bool) {
	if !j.claimed || j.ended || !j.inRange(index) || j.tasks[index].phase != phaseIdle {
		return 0, false
	}
	return j.tasks[index].attempt + 1, true
}

// Outcome returns what is known now about whether the job's tasks were run.
func (j *Job) Outcome() model.Outcome {
	if j.config.Adopting && !j.claimed {
		return model.Unknown
	}
	outcome := model.NotRun
	for i := range j.tasks {
		outcome = outcome.Join(j.tasks[i].outcome())
	}
	return outcome
}

// Apply takes an event and returns what is to be done, in order.
func (j *Job) Apply(event Event, now time.Time) []Action {
	if j.ended {
		j.stats.Late++
		return nil
	}
	switch e := event.(type) {
	case Claimed:
		return j.applyClaimed()
	case ClaimFailed:
		return j.applyClaimFailed(e)
	case Dispatched:
		return j.applyDispatched(e)
	case HandedBack:
		return j.applyHandedBack(e, now)
	case Done:
		return j.applyDone(e)
	case Unknown:
		return j.applyUnknown(e)
	case Cancel:
		return j.fail(model.CodeCancelled, "cancelled by the caller")
	case DeadlinePassed:
		return j.failDeadline()
	case Adopted:
		return j.applyAdopted(e)
	}
	return j.ignore()
}

func (j *Job) applyClaimed() []Action {
	if j.claimed {
		return j.ignore()
	}
	j.claimed = true
	return j.begin()
}

// begin dispatches every idle task, or finishes a job that has nothing to do.
func (j *Job) begin() []Action {
	if j.done == len(j.tasks) {
		return j.complete()
	}
	if idle := j.idle(); len(idle) > 0 {
		return []Action{Dispatch{Indexes: idle}}
	}
	return nil
}

func (j *Job) idle() []int {
	var indexes []int
	for i := range j.tasks {
		if j.tasks[i].phase == phaseIdle {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

func (j *Job) applyClaimFailed(e ClaimFailed) []Action {
	if j.claimed {
		return j.ignore()
	}
	return j.fail(e.Refusal.Code, e.Refusal.Detail)
}

func (j *Job) applyDispatched(e Dispatched) []Action {
	next, ok := j.Attempt(e.Index)
	if !ok || next != e.Attempt {
		return j.ignore()
	}
	j.tasks[e.Index] = task{phase: phaseSent, attempt: e.Attempt, sidecar: e.Sidecar}
	return nil
}

// applyHandedBack takes the proof that a dispatch did not start its task. From
// a sidecar that had reported the start before, it proves nothing.
// applyHandedBack takes a task back that is proved not to have been started. A
// sidecar that has been restarted proves nothing for its predecessor: if the
// message came twice, the predecessor may have started the task.
func (j *Job) applyHandedBack(e HandedBack, now time.Time) []Action {
	handed := j.current(e.Ref, e.Attempt)
	if handed == nil {
		return j.ignore()
	}
	if handed.phase == phaseStarted {
		return j.taskUnknown(handed, e.Ref.Index)
	}
	if e.Reason == wire.ReasonWrongIncarnation {
		return j.taskUnknown(handed, e.Ref.Index)
	}
	handed.phase = phaseIdle
	if !now.Before(j.config.Deadline) {
		return j.failDeadline()
	}
	if handed.attempt >= j.config.MaxAttempts {
		return j.fail(model.CodeNoCapacity, fmt.Sprintf("task %d was handed back %d times, last: %s", e.Ref.Index, handed.attempt, e.Reason))
	}
	return []Action{Dispatch{Indexes: []int{e.Ref.Index}}}
}

func (j *Job) applyDone(e Done) []Action {
	ended := j.current(e.Ref, e.Attempt)
	if ended == nil {
		return j.ignore()
	}
	if e.Result.Index != e.Ref.Index || xxhash.Sum64(e.Result.Body) != e.Result.Digest {
		j.stats.Mismatched++
		return j.taskUnknown(ended, e.Ref.Index)
	}
	ended.phase = phaseDone
	if e.Result.Status >= firstErrorStatus {
		return j.fail(model.CodeTaskFailed, fmt.Sprintf("task %d ended with status %d", e.Ref.Index, e.Result.Status))
	}
	j.results[e.Ref.Index] = e.Result
	j.done++
	if j.done == len(j.tasks) {
		return j.complete()
	}
	return nil
}

func (j *Job) applyUnknown(e Unknown) []Action {
	lost := j.current(e.Ref, e.Attempt)
	if lost == nil {
		return j.ignore()
	}
	return j.taskUnknown(lost, e.Ref.Index)
}

// taskUnknown fails the job: a task that may have run is never started again.
// A task that a sidecar reported as started stays known as run.
func (j *Job) taskUnknown(lost *task, index int) []Action {
	if lost.phase != phaseStarted {
		lost.phase = phaseUnknown
	}
	return j.fail(model.CodeTaskUnknown, fmt.Sprintf("it is not known how task %d ended", index))
}

// current returns the task if the given dispatch of it is in progress.
func (j *Job) current(ref model.TaskRef, attempt int) *task {
	if ref.Key != j.config.Key || !j.inRange(ref.Index) {
		return nil
	}
	found := &j.tasks[ref.Index]
	if !found.open() || found.attempt != attempt {
		return nil
	}
	return found
}

func (j *Job) inRange(index int) bool {
	return index >= 0 && index < len(j.tasks)
}

func (j *Job) ignore() []Action {
	j.stats.Ignored++
	return nil
}

func (j *Job) failDeadline() []Action {
	return j.fail(model.CodeDeadline, "the job's timeout passed")
}

func (j *Job) complete() []Action {
	j.ended = true
	return []Action{Finish{Answer: model.Answer{
		Key:     j.config.Key,
		State:   model.Complete,
		Results: j.results,
		Outcome: model.Run,
	}}}
}

// fail ends the job at once with the outcome that is true at this moment. What
// is still in progress is withdrawn, and its end is no longer waited for.
func (j *Job) fail(code model.Code, detail string) []Action {
	j.ended = true
	j.results = nil
	answer := model.Answer{
		Key:     j.config.Key,
		State:   model.Failed,
		Outcome: j.Outcome(),
		Code:    code,
		Detail:  detail,
	}
	return []Action{Withdraw{Tasks: j.placements()}, Finish{Answer: answer}}
}

// placements lists the dispatches in progress.
func (j *Job) placements() []Placement {
	var list []Placement
	for i := range j.tasks {
		if j.tasks[i].open() {
			list = append(list, Placement{Index: i, Attempt: j.tasks[i].attempt, Sidecar: j.tasks[i].sidecar})
		}
	}
	return list
}
