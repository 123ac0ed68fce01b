package jobstate

import "github.com/figring/figring/model"

// phase is how far a task has come, as far as the owner can prove.
type phase uint8

const (
	// phaseIdle means that no dispatch of the task exists that could start it.
	phaseIdle phase = iota
	// phaseSent means that a dispatch exists that may have started the task.
	phaseSent
	// phaseStarted means that a sidecar reported that the task was started.
	phaseStarted
	phaseDone
	phaseUnknown
)

type task struct {
	phase   phase
	attempt int
	sidecar model.Incarnation
	// hasResult is set for an adopted task whose whole result is known.
	hasResult bool
}

// open reports whether a dispatch of the task is in progress.
func (t *task) open() bool {
	return t.phase == phaseSent || t.phase == phaseStarted
}

// outcome returns what is known about whether the task was run.
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
