package routing

import (
	"time"

	"github.com/figring/figring/model"
)

// Choice is the target chosen for a task.
type Choice struct {
	Sidecar     string
	Incarnation model.Incarnation
	Address     string
	// MaxQueueWait bounds the time that the task may wait for a slot at the
	// sidecar.
	MaxQueueWait time.Duration
	// ExpectedTime is the expected time to completion; zero if the router does
	// not estimate it.
	ExpectedTime time.Duration
}
