package startgate

import (
	"time"

	"github.com/figring/figring/decision/permit"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// Gate is the start authority of one sidecar. It is owned by one goroutine.
type Gate struct {
	settings Settings
	permits  *permit.Set
	state    wire.TargetState
	draining bool
	slots    int
	running  int
	queue    []*queued
	records  records
}

// New returns a gate without a minion. The ledger is used by the gate and by
// its owner, on the same goroutine.
func New(settings Settings, permits *permit.Set, now time.Time) *Gate {
	return &Gate{
		settings: settings,
		permits:  permits,
		state:    wire.TargetEmpty,
		records:  newRecords(settings, now),
	}
}

// Apply takes one event at now and returns what has to be done, in order.
func (g *Gate) Apply(event Event, now time.Time) []Action {
	g.records.trim(now)
	var out []Action
	switch e := event.(type) {
	case Dispatch:
		out = g.dispatch(e, now)
	case Attach:
		out = g.attach(e)
	case PermitChanged:
		out = g.permitChanged(e, now)
	case MinionReady:
		g.ready(e.Slots)
	case MinionLeaving:
		out = g.close(wire.TargetDraining, wire.ReasonDraining)
	case MinionLost:
		out = g.close(wire.TargetEmpty, wire.ReasonNoMinion)
	case Drain:
		g.draining = true
		out = g.close(wire.TargetDraining, wire.ReasonDraining)
	case Withdraw:
		out = g.withdraw(e)
	case Revoke:
		out = g.revoke(e)
	case TaskEnded:
		out = g.ended(e)
	}
	return append(out, g.advance(now)...)
}

// State returns what the sidecar says of its intake.
func (g *Gate) State() wire.TargetState { return g.state }

// Slots returns the number of slots of the minion.
func (g *Gate) Slots() int { return g.slots }

// Running returns the number of tasks that run.
func (g *Gate) Running() int { return g.running }

// Queued returns the number of tasks that wait for a slot.
func (g *Gate) Queued() int { return len(g.queue) }

// Records returns the number of records of started tasks.
func (g *Gate) Records() int { return g.records.count }

// RecordsSince returns the time since which no record has been dropped: every
// task that was started later has one.
func (g *Gate) RecordsSince() time.Time { return g.records.since }

// Lookup lists what is known of a job, queued tasks included.
func (g *Gate) Lookup(key model.JobKey) []wire.TaskRecord {
	list := g.records.list(key)
	for _, one := range g.queue {
		if one.Ref.Key == key && g.records.get(one.Ref) == nil {
			list = append(list, wire.TaskRecord{Ref: one.Ref, Entry: one.Entry, Phase: wire.PhaseQueued})
		}
	}
	return list
}

// NextTick returns the time at which a queued task stops waiting; the zero
// time when there is none. The owner then applies Tick.
func (g *Gate) NextTick(now time.Time) time.Time {
	var next time.Time
	for _, one := range g.queue {
		end := one.end()
		if lapse := g.lapse(one, now); lapse.Before(end) {
			end = lapse
		}
		if next.IsZero() || end.Before(next) {
			next = end
		}
	}
	return next
}

// lapse returns when the permit of a queued task ends, or when the wait for a
// new one does.
func (g *Gate) lapse(one *queued, now time.Time) time.Time {
	if one.lapsed.IsZero() {
		return now.Add(g.permits.Remaining(one.Entry, now))
	}
	return one.permitEnd()
}

// permitChanged takes a permit. An entry that grants none gets its queued tasks
// back at once: it is the one that knows where else they may run.
func (g *Gate) permitChanged(e PermitChanged, now time.Time) []Action {
	g.permits.RecordGrant(e.Entry, e.Permit, now)
	if e.Permit.TTL > 0 || g.permits.Valid(e.Entry, now) {
		return nil
	}
	out, _ := g.handBack(wire.ReasonNoPermit, func(one *queued) bool { return one.Entry == e.Entry })
	return out
}

func (g *Gate) ready(slots int) {
	g.slots = slots
	if !g.draining {
		g.state = wire.TargetReady
	}
}

// close stops the intake and hands back what is queued: it provably has not
// been started. What runs goes on.
func (g *Gate) close(state wire.TargetState, reason wire.NotStartedReason) []Action {
	g.state = state
	if g.draining {
		g.state = wire.TargetDraining
	}
	out, _ := g.handBack(reason, func(*queued) bool { return true })
	return out
}
