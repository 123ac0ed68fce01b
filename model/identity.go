package model

import (
	"github.com/google/uuid"
)

// Incarnation identifies one run of one process: its configured name, a dot, and a
// UUID generated at start. A restarted process has a new incarnation, so that it
// does not accept messages addressed to its predecessor.
type Incarnation string

// NewIncarnation generates an incarnation for the process called name.
func NewIncarnation(name string) Incarnation {
	return Incarnation(name + "." + uuid.Must(uuid.NewV7()).String())
}

// TaskRef identifies a task of a job by its position.
type TaskRef struct {
	Key   JobKey
	Index int
}
