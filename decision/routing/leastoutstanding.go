package routing

import (
	"math/rand/v2"
	"time"
)

// LeastOutstanding chooses the target with the fewest outstanding tasks of this
// entry, at random among equal ones. It is a baseline.
type LeastOutstanding struct{ Fleet }

var _ Router = (*LeastOutstanding)(nil)

// NewLeastOutstanding returns a router without targets.
func NewLeastOutstanding(source *rand.Rand) *LeastOutstanding {
	return &LeastOutstanding{Fleet: newFleet(source)}
}

// Pick implements Router.
func (l *LeastOutstanding) Pick(request Request, now time.Time) (Choice, bool) {
	var picked *target
	ties := 0
	for _, t := range l.targets {
		if !l.eligible(t, &request, now) {
			continue
		}
		switch {
		case picked == nil || t.outstanding < picked.outstanding:
			picked, ties = t, 1
		case t.outstanding == picked.outstanding:
			ties++
			if l.rand.IntN(ties) == 0 {
				picked = t
			}
		}
	}
	return l.newBaselineChoice(picked, request)
}
