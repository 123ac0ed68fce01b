package startgate

import (
	"time"

	"github.com/figring/figring/wire"
)

// dispatch queues a task. The permit of a dispatch that was meant for another
// incarnation is not looked at: its echo numbers a message of that one.
func (g *Gate) dispatch(e Dispatch, now time.Time) []Action {
	if e.Sidecar != g.settings.Self {
		return refuse(e, wire.ReasonWrongIncarnation)
	}
	g.permits.RecordGrant(e.Entry, e.Permit, now)
	if g.taken(e) {
		return []Action{End{ID: e.ID, Status: wire.RunDuplicate}}
	}
	if reason := g.closed(e, now); reason != "" {
		return refuse(e, reason)
	}
	g.queue = append(g.queue, &queued{Dispatch: e, received: now})
	return nil
}

// taken reports whether a start of the task would break the promise that it
// starts once, or for a repeatable one that it never runs twice at a time.
func (g *Gate) taken(e Dispatch) bool {
	if g.find(e.Ref) != nil {
		return true
	}
	held := g.records.get(e.Ref)
	if held == nil {
		return false
	}
	return held.running() || !e.Repeatable
}

func (g *Gate) closed(e Dispatch, now time.Time) wire.NotStartedReason {
	switch {
	case g.state == wire.TargetDraining:
		return wire.ReasonDraining
	case g.state == wire.TargetEmpty:
		return wire.ReasonNoMinion
	case !g.permits.Known(e.Entry):
		return wire.ReasonNoPermit
	case !now.Before(e.Deadline):
		return wire.ReasonDeadline
	case g.full():
		return wire.ReasonQueueFull
	}
	return ""
}

// full reports whether another task can neither start now nor wait.
func (g *Gate) full() bool {
	capacity := g.settings.QueueCapacity
	if capacity == 0 {
		capacity = g.slots
	}
	free := max(g.slots-g.running, 0)
	return len(g.queue) >= free+capacity
}

func refuse(e Dispatch, reason wire.NotStartedReason) []Action {
	return []Action{End{ID: e.ID, Status: wire.RunNotStarted, Reason: reason}}
}
