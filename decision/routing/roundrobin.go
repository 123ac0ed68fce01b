package routing

import (
	"math/rand/v2"
	"time"
)

// RoundRobin chooses targets that have room in turn. It is a baseline.
type RoundRobin struct {
	Fleet
	next int
}

var _ Router = (*RoundRobin)(nil)

// NewRoundRobin returns a router without targets.
func NewRoundRobin(source *rand.Rand) *RoundRobin {
	return &RoundRobin{Fleet: newFleet(source)}
}

// Pick implements Router. The turn moves on with each Pick that finds a target.
func (r *RoundRobin) Pick(request Request, now time.Time) (Choice, bool) {
	for i := range r.list {
		at := (r.next + i) % len(r.list)
		if r.eligible(r.list[at], &request, now) {
			r.next = at + 1
			return r.plainChoice(r.list[at], request)
		}
	}
	return Choice{}, false
}
