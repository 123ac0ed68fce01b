package jobstate

import "github.com/figring/figring/model"

// phase is the progress of a task that the owner can prove.
type phase uint8

const (
	// phaseIdle means that no dispatch exists that has started or can start the task.
	phaseIdle phase = iota
	// phaseSent means that a dispatch is in progress that may have started the task.
	phaseSent
	// phaseStarted means that a sidecar reported the start of the task.
	phaseStarted
	// phaseDone means that a dispatch ended with a result.
	phaseDone
	// phaseUnknown means that it can't be proved how far the task got.
	phaseUnknown
)

type task struct {
	phase   phase
	attempt int
	sidecar model.Incarnation
	// hasResult is set for an adopted task whose record had a valid result.
	hasResult bool
}

// inProgress reports whether a dispatch of the task has been sent and has not ended.
func (t *task) inProgress() bool {
	return t.phase == phaseSent || t.phase == phaseStarted
}

// outcome returns what the phase proves about whether the task was run.
func (t *task) outcome() model.Outcome {
	switch t.phase {
	case phaseIdle:
		return model.NotRun
	case phaseDone, phaseStarted:
		return model.Run
	default:
		return model.Unknown
	}
}
