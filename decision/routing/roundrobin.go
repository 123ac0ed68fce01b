package routing

import (
	"math/rand/v2"
	"time"
)

// RoundRobin chooses eligible targets in turn. It is a baseline.
type RoundRobin struct {
	Fleet
	// next is the index of the target that is tried first.
	next int
}

var _ Router = (*RoundRobin)(nil)

// NewRoundRobin returns a router without targets.
func NewRoundRobin(source *rand.Rand) *RoundRobin {
	return &RoundRobin{Fleet: newFleet(source)}
}

// Pick implements Router. Only a Pick that finds a target advances the turn.
func (r *RoundRobin) Pick(request Request, now time.Time) (Choice, bool) {
	for i := range r.targets {
		position := (r.next + i) % len(r.targets)
		if r.eligible(r.targets[position], &request, now) {
			r.next = position + 1
			return r.newBaselineChoice(r.targets[position], request)
		}
	}
	return Choice{}, false
}
