package startgate

import (
	"time"

	"github.com/figring/figring/model"
)

// permitWait is how long a queued dispatch waits for its entry's permit to be
// renewed before it is handed back. A renewal takes one round trip.
const permitWait = 500 * time.Millisecond

// queued is a dispatch that waits for a slot or for its entry's permit.
type queued struct {
	Dispatch
	received time.Time
	waiters  []uint64
	// lapsed is the time at which the permit was first seen missing; zero while
	// it is live.
	lapsed time.Time
}

// permitEnd returns the time at which the wait for a permit ends.
func (q *queued) permitEnd() time.Time {
	return q.lapsed.Add(permitWait)
}

// HasQueued reports whether a dispatch of the entry is queued: its permit should be
// kept alive, or be renewed at once when it is not live.
func (g *Gate) HasQueued(entry model.Incarnation) bool {
	for _, one := range g.queue {
		if one.Entry == entry {
			return true
		}
	}
	return false
}

// end returns the time at which the wait ends at the latest.
func (q *queued) end() time.Time {
	if !q.QueueDeadline.IsZero() && q.QueueDeadline.Before(q.Deadline) {
		return q.QueueDeadline
	}
	return q.Deadline
}

func (g *Gate) find(ref model.TaskRef) *queued {
	for _, one := range g.queue {
		if one.Ref == ref {
			return one
		}
	}
	return nil
}
