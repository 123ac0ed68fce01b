package routing

import (
	"time"

	"github.com/figring/figring/model"
)

// Choice names the target for a task.
type Choice struct {
	Sidecar     string
	Incarnation model.Incarnation
	Address     string
	// MaxQueueWait bounds the wait for a slot at the sidecar.
	MaxQueueWait time.Duration
	// ExpectedTime is the expected time to completion; zero if it was not computed.
	ExpectedTime time.Duration
}
