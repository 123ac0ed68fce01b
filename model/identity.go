package model

import (
	"github.com/google/uuid"
)

// Incarnation identifies one run of one process: its configured name, a dot,
// and an identifier drawn at start. A restarted process has another one, so
// that nothing addressed to its predecessor is taken for its own.
type Incarnation string

// NewIncarnation draws an incarnation for the process called name.
func NewIncarnation(name string) Incarnation {
	return Incarnation(name + "." + uuid.Must(uuid.NewV7()).String())
}

// TaskRef identifies a task of a job by its position.
type TaskRef struct {
	Key   JobKey
	Index int
}
