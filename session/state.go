package session

import (
	"time"

	"github.com/figring/figring/work"
)

// State is what a sidecar tells entries about its room.
type State struct {
	Minion Minion
	// Taking is false while the sidecar refuses all orders, for Reason.
	Taking bool
	Reason Refusal
	// Suspect means that the minion fails, stalls or slows down most of what
	// it runs; it gets no more than a trial task at a time.
	Suspect bool
	// TrialDue means that a suspect minion may get its next trial task.
	TrialDue bool
	// Free is the room that nothing runs in or waits for.
	Free work.Resources
	// Queued is what waits for room.
	Queued Backlog
	// Turnover is the expected time in which the whole capacity becomes free
	// once.
	Turnover time.Duration
	// Pace is the run time on this minion as a multiple of the estimate.
	Pace float64
	// Seen is the number of the newest StartRequest of this session that the
	// state takes account of.
	Seen uint64
}
