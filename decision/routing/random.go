package routing

import (
	"math/rand/v2"
	"time"
)

// Random chooses an eligible target, each with the same probability. It is a
// baseline.
type Random struct{ Fleet }

var _ Router = (*Random)(nil)

// NewRandom returns a router without targets.
func NewRandom(source *rand.Rand) *Random {
	return &Random{Fleet: newFleet(source)}
}

// Pick implements Router.
func (r *Random) Pick(request Request, now time.Time) (Choice, bool) {
	var picked *target
	eligible := 0
	for _, t := range r.targets {
		if !r.eligible(t, &request, now) {
			continue
		}
		eligible++
		if r.rand.IntN(eligible) == 0 {
			picked = t
		}
	}
	return r.newBaselineChoice(picked, request)
}

// newBaselineChoice returns the choice of a router that does not estimate the time
// to completion; false if no target was picked.
func (f *Fleet) newBaselineChoice(picked *target, request Request) (Choice, bool) {
	if picked == nil {
		return Choice{}, false
	}
	runTime := f.estimator.estimate(classKey{request.Caller, request.Class}, request.Declared)
	return newChoice(picked, runTime, 0), true
}
