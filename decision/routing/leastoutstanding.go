package routing

import (
	"math/rand/v2"
	"time"
)

// LeastOutstanding chooses the target with the fewest tasks of this entry in
// progress, at random among equals. It is a baseline.
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
	for _, known := range l.list {
		if !l.eligible(known, &request, now) {
			continue
		}
		switch {
		case picked == nil || known.outstanding < picked.outstanding:
			picked, ties = known, 1
		case known.outstanding == picked.outstanding:
			ties++
			if l.rand.IntN(ties) == 0 {
				picked = known
			}
		}
	}
	return l.plainChoice(picked, request)
}
