package startgate

import (
	"time"

	"github.com/figring/figring/model"
)

// queued is a dispatch that waits for a slot.
type queued struct {
	Dispatch
	received time.Time
	waiters  []uint64
}

// end returns the time at which the wait ends at the latest.
func (q *queued) end() time.Time {
	if !q.QueueEnd.IsZero() && q.QueueEnd.Before(q.Deadline) {
		return q.QueueEnd
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
