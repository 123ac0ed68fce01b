package entry

import (
	"time"

	"github.com/figring/figring/decision/jobstate"
)

// course decides what becomes of admitted work: jobstate.Job for what starts
// at most once, request.Request for what may be repeated.
type stateMachine interface {
	// Deadline returns the time at which jobstate.DeadlinePassed is due.
	Deadline() time.Time
	// Attempt returns the number to give to the next dispatch of a task, and
	// false when it must not be dispatched now.
	Attempt(index int) (int, bool)
	// Apply takes an event and returns what is to be done, in order.
	Apply(event jobstate.Event, now time.Time) []jobstate.Action
}
