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
	// MaxQueue bounds the wait for a slot at the sidecar.
	MaxQueue time.Duration
	// Expected is the expected time to completion; zero if it was not computed.
	Expected time.Duration
}
