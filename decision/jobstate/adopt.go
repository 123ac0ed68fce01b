package jobstate

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// adoptedAttempt is the attempt number of a dispatch by a former owner.
const adoptedAttempt = 1

// applyAdopted rebuilds the job from the records of the sidecars. A task
// without a record is dispatched only when its absence proves that it was not
// started; otherwise the job fails whole.
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
	actions := j.begin()
	if placements := j.placements(); len(placements) > 0 {
		actions = append([]Action{Attach{Tasks: placements}}, actions...)
	}
	return actions
}

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

// mergeRecord handles a second record of one task. Two sidecars may both hold
// one when a dispatch was handed back and sent on; which of them is the true
// one can't be told, so the task counts as unknown, or as started if either
// says so, and the job fails.
func (j *Job) mergeRecord(known *task, second task) {
	j.stats.Ignored++
	if known.outcome().Join(second.outcome()) == model.Run {
		known.phase = phaseStarted
	} else {
		known.phase = phaseUnknown
	}
	known.attempt = 0
}

func (j *Job) adoptResult(record wire.TaskRecord) {
	if record.Phase != wire.PhaseDone || !wholeResult(record) {
		return
	}
	j.results[record.Ref.Index] = record.Result
	j.tasks[record.Ref.Index].hasResult = true
}

// recordPhase maps what a sidecar knows of a task. A queued task counts as
// sent until the sidecar hands it back.
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

func wholeResult(record wire.TaskRecord) bool {
	result := record.Result
	return record.HasResult && result.Index == record.Ref.Index && xxhash.Sum64(result.Body) == result.Digest
}

// checkAdopted returns the actions that end an adopted job that can't be
// completed, or nil.
func (j *Job) checkAdopted(absentProved bool) []Action {
	j.done = 0
	for i := range j.tasks {
		known := &j.tasks[i]
		switch {
		case known.phase == phaseIdle && !absentProved:
			known.phase = phaseUnknown
			return j.failAdopted(i, "may have been started by a former owner")
		case known.phase == phaseUnknown || (known.open() && known.attempt == 0):
			return j.failAdopted(i, "has no single known end")
		case known.phase == phaseDone && !known.hasResult:
			return j.failAdopted(i, "was run and its result is no longer kept")
		case known.phase == phaseDone && j.results[i].Status >= firstErrorStatus:
			return j.fail(model.CodeTaskFailed, fmt.Sprintf("task %d ended with status %d", i, j.results[i].Status))
		case known.phase == phaseDone:
			j.done++
		}
	}
	return nil
}

func (j *Job) failAdopted(index int, detail string) []Action {
	return j.fail(model.CodeTaskUnknown, fmt.Sprintf("task %d %s", index, detail))
}
