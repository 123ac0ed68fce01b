package jobstate

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// firstErrorStatus is the lowest result status that counts as a failed task.
const firstErrorStatus = 400

// Config describes a job.
type Config struct {
	Key   model.JobKey
	Tasks int
	// Deadline is when the job fails if it has not ended.
	Deadline time.Time
	// MaxAttempts limits the dispatches of one task.
	MaxAttempts int
	// Adopting is set if another entry claimed the job. Until Adopted is applied,
	// any task of the job may have been started.
	Adopting bool
}

// Job is the state machine of one job. It is not safe for concurrent use.
type Job struct {
	config    Config
	claimed   bool
	ended     bool
	doneTasks int
	tasks     []task
	results   []model.TaskResult
	stats     Stats
}

// New returns a job whose claim is not written yet.
func New(config Config) *Job {
	return &Job{
		config:  config,
		tasks:   make([]task, config.Tasks),
		results: make([]model.TaskResult, config.Tasks),
	}
}

func (j *Job) Key() model.JobKey { return j.config.Key }

// Deadline returns the time at which the caller must apply DeadlinePassed.
func (j *Job) Deadline() time.Time { return j.config.Deadline }

// Ended reports whether the job has returned its Finish.
func (j *Job) Ended() bool { return j.ended }

// Stats returns the counts of events that had no effect.
func (j *Job) Stats() Stats { return j.stats }

// Attempt returns the attempt number for the next dispatch of a task, or false if
// the task must not be dispatched now.
func (j *Job) Attempt(index int) (int, bool) {
	if !j.claimed || j.ended || !j.inRange(index) || j.tasks[index].phase != phaseIdle {
		return 0, false
	}
	return j.tasks[index].attempt + 1, true
}

// Outcome returns what is currently known about whether the job's tasks were run.
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

// Apply applies an event and returns the actions to perform, in order.
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
	return j.dispatchOrComplete()
}

// dispatchOrComplete dispatches every idle task, or completes the job if all tasks
// are done.
func (j *Job) dispatchOrComplete() []Action {
	if j.doneTasks == len(j.tasks) {
		return j.complete()
	}
	if idle := j.idleTasks(); len(idle) > 0 {
		return []Action{Dispatch{Indexes: idle}}
	}
	return nil
}

func (j *Job) idleTasks() []int {
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

// applyHandedBack dispatches a task again that is proved not to have been started.
// Two cases prove nothing. The first is a task that its sidecar had already reported
// as started. The second is a sidecar that has restarted: if the message was
// delivered twice, the sidecar may have started the task before its restart.
func (j *Job) applyHandedBack(e HandedBack, now time.Time) []Action {
	returned := j.taskInProgress(e.Ref, e.Attempt)
	if returned == nil {
		return j.ignore()
	}
	if returned.phase == phaseStarted {
		return j.failUnknown(returned, e.Ref.Index)
	}
	if e.Reason == wire.ReasonWrongIncarnation {
		return j.failUnknown(returned, e.Ref.Index)
	}
	returned.phase = phaseIdle
	if !now.Before(j.config.Deadline) {
		return j.failDeadline()
	}
	if returned.attempt >= j.config.MaxAttempts {
		return j.fail(model.CodeNoCapacity, fmt.Sprintf("task %d was handed back %d times, last: %s", e.Ref.Index, returned.attempt, e.Reason))
	}
	return []Action{Dispatch{Indexes: []int{e.Ref.Index}}}
}

func (j *Job) applyDone(e Done) []Action {
	ended := j.taskInProgress(e.Ref, e.Attempt)
	if ended == nil {
		return j.ignore()
	}
	if e.Result.Index != e.Ref.Index || xxhash.Sum64(e.Result.Body) != e.Result.Digest {
		j.stats.Mismatched++
		return j.failUnknown(ended, e.Ref.Index)
	}
	ended.phase = phaseDone
	if e.Result.Status >= firstErrorStatus {
		return j.fail(model.CodeTaskFailed, fmt.Sprintf("task %d ended with status %d", e.Ref.Index, e.Result.Status))
	}
	j.results[e.Ref.Index] = e.Result
	j.doneTasks++
	if j.doneTasks == len(j.tasks) {
		return j.complete()
	}
	return nil
}

func (j *Job) applyUnknown(e Unknown) []Action {
	lost := j.taskInProgress(e.Ref, e.Attempt)
	if lost == nil {
		return j.ignore()
	}
	return j.failUnknown(lost, e.Ref.Index)
}

// failUnknown fails the job, because a task that may have run is never started
// again. A task that a sidecar reported as started still counts as run.
func (j *Job) failUnknown(lost *task, index int) []Action {
	if lost.phase != phaseStarted {
		lost.phase = phaseUnknown
	}
	return j.fail(model.CodeTaskUnknown, fmt.Sprintf("it is not known how task %d ended", index))
}

// taskInProgress returns the task if the given attempt at it is in progress, and
// nil otherwise.
func (j *Job) taskInProgress(ref model.TaskRef, attempt int) *task {
	if ref.Key != j.config.Key || !j.inRange(ref.Index) {
		return nil
	}
	found := &j.tasks[ref.Index]
	if !found.inProgress() || found.attempt != attempt {
		return nil
	}
	return found
}

func (j *Job) inRange(index int) bool {
	return index >= 0 && index < len(j.tasks)
}

// ignore counts an event that does not fit the state of the job.
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

// fail ends the job immediately with its current outcome. Dispatches in progress
// are withdrawn without waiting for them to end.
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
		if j.tasks[i].inProgress() {
			list = append(list, Placement{Index: i, Attempt: j.tasks[i].attempt, Sidecar: j.tasks[i].sidecar})
		}
	}
	return list
}
