package routing

import (
	"math/rand/v2"
	"time"
)

// Random chooses any target that has room, each with the same probability. It
// is a baseline.
type Random struct{ Fleet }

var _ Router = (*Random)(nil)

// NewRandom returns a router without targets.
func NewRandom(source *rand.Rand) *Random {
	return &Random{Fleet: newFleet(source)}
}

// Pick implements Router.
func (r *Random) Pick(request Request, now time.Time) (Choice, bool) {
	var picked *target
	seen := 0
	for _, known := range r.list {
		if !r.eligible(known, &request, now) {
			continue
		}
		seen++
		if r.rand.IntN(seen) == 0 {
			picked = known
		}
	}
	return r.plainChoice(picked, request)
}

// plainChoice makes a Choice for a router that expects nothing of targets.
func (f *Fleet) plainChoice(picked *target, request Request) (Choice, bool) {
	if picked == nil {
		return Choice{}, false
	}
	run := f.estimator.expect(classKey{request.Caller, request.Class}, request.Declared)
	return choose(picked, run, 0), true
}
