package startgate

import (
	"time"

	"github.com/figring/figring/model"
)

// permitWait is how long a queued dispatch waits for the renewal of its entry's
// permit before it is handed back. A renewal takes one round trip.
const permitWait = 500 * time.Millisecond

// queuedTask is a dispatch that waits for a slot or for its entry's permit.
type queuedTask struct {
	Dispatch
	receivedAt time.Time
	waiters    []uint64
	// permitLostAt is the time at which the permit was first found not to be
	// live; zero while it is live.
	permitLostAt time.Time
}

// permitWaitEnd returns the time at which the task is handed back if its permit
// is not renewed. It is valid only while permitLostAt is set.
func (q *queuedTask) permitWaitEnd() time.Time {
	return q.permitLostAt.Add(permitWait)
}

// HasQueued reports whether a dispatch of the entry is queued. If so, the
// sidecar should keep the entry's permit live, and renew it immediately when it
// is not.
func (g *Gate) HasQueued(entry model.Incarnation) bool {
	for _, task := range g.queue {
		if task.Entry == entry {
			return true
		}
	}
	return false
}

// waitEnd returns the latest time until which the task may wait in the queue.
func (q *queuedTask) waitEnd() time.Time {
	if !q.QueueDeadline.IsZero() && q.QueueDeadline.Before(q.Deadline) {
		return q.QueueDeadline
	}
	return q.Deadline
}

func (g *Gate) findQueued(ref model.TaskRef) *queuedTask {
	for _, task := range g.queue {
		if task.Ref == ref {
			return task
		}
	}
	return nil
}
