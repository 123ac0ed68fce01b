package jobstate

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// adoptedAttempt is the attempt number that the new owner gives to a dispatch of a
// former owner.
const adoptedAttempt = 1

// applyAdopted rebuilds the state of the job from the records of the sidecars. A
// task without a record is dispatched only if the missing record proves that it
// was not started. Otherwise the whole job fails.
func (j *Job) applyAdopted(e Adopted) []Action {
	if j.claimed {
		return j.ignore()
	}
	j.claimed = true
	for _, adopted := range e.Tasks {
		j.adoptRecord(adopted)
	}
	if actions := j.checkAdopted(e.AbsentNotStarted); actions != nil {
		return actions
	}
	actions := j.dispatchOrComplete()
	if placements := j.placements(); len(placements) > 0 {
		actions = append([]Action{Attach{Tasks: placements}}, actions...)
	}
	return actions
}

// adoptRecord sets the state of a task from a sidecar's record of it.
func (j *Job) adoptRecord(adopted AdoptedTask) {
	record := adopted.Record
	if record.Ref.Key != j.config.Key || !j.inRange(record.Ref.Index) {
		j.stats.Ignored++
		return
	}
	known := &j.tasks[record.Ref.Index]
	found := task{phase: recordPhase(record), attempt: adoptedAttempt, sidecar: adopted.Sidecar}
	if known.phase != phaseIdle {
		j.mergeRecord(known, found)
		return
	}
	*known = found
	j.adoptResult(record)
}

// mergeRecord applies a second record of a task. Two sidecars can both have a
// record when a dispatch was handed back and the task was sent to another sidecar.
// The records don't show which one is current, so the task counts as started if
// either record says so and as unknown otherwise, and the job fails. The attempt
// number 0 tells checkAdopted to fail it.
func (j *Job) mergeRecord(known *task, second task) {
	j.stats.Ignored++
	if known.outcome().Join(second.outcome()) == model.Run {
		known.phase = phaseStarted
	} else {
		known.phase = phaseUnknown
	}
	known.attempt = 0
}

// adoptResult stores the result in a record if it is valid.
func (j *Job) adoptResult(record wire.TaskRecord) {
	if record.Phase != wire.PhaseDone || !validResult(record) {
		return
	}
	j.results[record.Ref.Index] = record.Result
	j.tasks[record.Ref.Index].hasResult = true
}

// recordPhase maps the phase in a sidecar's record to the phase of the task. A
// task that is queued at the sidecar counts as sent until the sidecar hands it
// back.
func recordPhase(record wire.TaskRecord) phase {
	switch record.Phase {
	case wire.PhaseQueued:
		return phaseSent
	case wire.PhaseStarted:
		return phaseStarted
	case wire.PhaseDone:
		return phaseDone
	default:
		return phaseUnknown
	}
}

// validResult reports whether the record has the result of its own task with a
// matching digest.
func validResult(record wire.TaskRecord) bool {
	result := record.Result
	return record.HasResult && result.Index == record.Ref.Index && xxhash.Sum64(result.Body) == result.Digest
}

// checkAdopted counts the done tasks of an adopted job. It returns the actions that
// fail the job if it can't be completed, or nil.
func (j *Job) checkAdopted(absentNotStarted bool) []Action {
	j.doneTasks = 0
	for i := range j.tasks {
		known := &j.tasks[i]
		switch {
		case known.phase == phaseIdle && !absentNotStarted:
			known.phase = phaseUnknown
			return j.failAdopted(i, "may have been started by a former owner")
		case known.phase == phaseUnknown || (known.inProgress() && known.attempt == 0):
			return j.failAdopted(i, "has no single known end")
		case known.phase == phaseDone && !known.hasResult:
			return j.failAdopted(i, "was run and its result is no longer kept")
		case known.phase == phaseDone && j.results[i].Status >= firstErrorStatus:
			return j.fail(model.CodeTaskFailed, fmt.Sprintf("task %d ended with status %d", i, j.results[i].Status))
		case known.phase == phaseDone:
			j.doneTasks++
		}
	}
	return nil
}

func (j *Job) failAdopted(index int, detail string) []Action {
	return j.fail(model.CodeTaskUnknown, fmt.Sprintf("task %d %s", index, detail))
}
