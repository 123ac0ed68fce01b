package entry

import (
	"time"

	"github.com/figring/figring/decision/jobstate"
)

// stateMachine is the state machine of admitted work. jobstate.Job implements it
// for jobs, whose tasks are started at most once, and request.Request for requests
// that may be repeated.
type stateMachine interface {
	// Deadline returns the time at which jobstate.DeadlinePassed must be applied.
	Deadline() time.Time
	// Attempt returns the attempt number of the next dispatch of a task, or false
	// if the task must not be dispatched now.
	Attempt(index int) (int, bool)
	// Apply processes an event and returns the actions to perform, in order.
	Apply(event jobstate.Event, now time.Time) []jobstate.Action
}
