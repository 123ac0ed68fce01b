package startgate

import (
	"time"

	"github.com/figring/figring/wire"
)

// dispatch queues a task or rejects its dispatch. The permit in a dispatch
// meant for another incarnation of the sidecar is ignored, because the message
// number that it echoes was assigned by that incarnation.
func (g *Gate) dispatch(e Dispatch, now time.Time) []Action {
	if e.Sidecar != g.settings.Self {
		return notStarted(e, wire.ReasonWrongIncarnation)
	}
	g.permits.RecordGrant(e.Entry, e.Permit, now)
	if g.isDuplicate(e) {
		return []Action{End{ID: e.ID, Status: wire.RunDuplicate}}
	}
	if reason := g.rejectReason(e, now); reason != "" {
		return notStarted(e, reason)
	}
	g.queue = append(g.queue, &queuedTask{Dispatch: e, receivedAt: now})
	return nil
}

// isDuplicate reports whether starting the task could start it a second time
// or, for a repeatable task, run it twice at the same time.
func (g *Gate) isDuplicate(e Dispatch) bool {
	if g.findQueued(e.Ref) != nil {
		return true
	}
	rec := g.records.get(e.Ref)
	if rec == nil {
		return false
	}
	return rec.running() || !e.Repeatable
}

// rejectReason returns why the dispatch can't be accepted, or "" if it can.
func (g *Gate) rejectReason(e Dispatch, now time.Time) wire.NotStartedReason {
	switch {
	case g.state == wire.TargetDraining:
		return wire.ReasonDraining
	case g.state == wire.TargetEmpty:
		return wire.ReasonNoMinion
	case !g.permits.Known(e.Entry):
		return wire.ReasonNoPermit
	case !now.Before(e.Deadline):
		return wire.ReasonDeadline
	case g.queueFull():
		return wire.ReasonQueueFull
	}
	return ""
}

// queueFull reports whether there is neither a free slot nor room in the queue
// for another task.
func (g *Gate) queueFull() bool {
	capacity := g.settings.QueueCapacity
	if capacity == 0 {
		capacity = g.slots
	}
	free := max(g.slots-g.running, 0)
	return len(g.queue) >= free+capacity
}

func notStarted(e Dispatch, reason wire.NotStartedReason) []Action {
	return []Action{End{ID: e.ID, Status: wire.RunNotStarted, Reason: reason}}
}
