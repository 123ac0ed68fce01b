package keptend

import "github.com/figring/figring/session"

// State says what the job store has of an end that a sidecar keeps.
type State int

const (
	// Needed means that the end is not stored yet, or that nothing is known of it.
	Needed State = iota
	// Confirmed means that the end is stored, or that its job has ended, and that its task
	// was not started again.
	Confirmed
	// Stored is Confirmed where it is not known whether the task was started again.
	Stored
	// Superseded means that the task may have been started again.
	Superseded
	// JobUnknown means that the job is not stored.
	JobUnknown
)

// Of returns the state of an end that is stored or not, and that stands to its job as given.
func Of(stored bool, since session.Relation) State {
	switch {
	case since == session.Superseded:
		return Superseded
	case !stored:
		return Needed
	case since == session.Current:
		return Confirmed
	}
	return Stored
}
