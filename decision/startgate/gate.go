package startgate

import (
	"time"

	"github.com/figring/figring/decision/permit"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// Gate decides which tasks a sidecar starts. It is not safe for concurrent use:
// one goroutine owns it.
type Gate struct {
	settings Settings
	permits  *permit.Set
	state    wire.TargetState
	draining bool
	slots    int
	running  int
	queue    []*queuedTask
	records  records
}

// New returns a Gate that has no minion yet. The caller may use the ledger as
// well, but only on the goroutine that owns the Gate.
func New(settings Settings, permits *permit.Set, now time.Time) *Gate {
	return &Gate{
		settings: settings,
		permits:  permits,
		state:    wire.TargetEmpty,
		records:  newRecords(settings, now),
	}
}

// Apply processes one event that happened at now and returns the actions to
// perform, in order.
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
		g.minionReady(e.Slots)
	case MinionLeaving:
		out = g.stopIntake(wire.TargetDraining, wire.ReasonDraining)
	case MinionLost:
		out = g.stopIntake(wire.TargetEmpty, wire.ReasonNoMinion)
	case Drain:
		g.draining = true
		out = g.stopIntake(wire.TargetDraining, wire.ReasonDraining)
	case Withdraw:
		out = g.withdraw(e)
	case Revoke:
		out = g.revoke(e)
	case TaskEnded:
		out = g.taskEnded(e)
	}
	return append(out, g.advance(now)...)
}

// State returns whether the sidecar accepts new tasks, as reported to entries.
func (g *Gate) State() wire.TargetState { return g.state }

// Slots returns how many tasks the minion can run at the same time.
func (g *Gate) Slots() int { return g.slots }

// Running returns the number of running tasks.
func (g *Gate) Running() int { return g.running }

// Queued returns the number of tasks that wait for a slot or a permit.
func (g *Gate) Queued() int { return len(g.queue) }

// Records returns the number of records of started tasks.
func (g *Gate) Records() int { return g.records.count }

// RecordsSince returns the time since which the records are complete: every
// task that was started later has a record.
func (g *Gate) RecordsSince() time.Time { return g.records.completeSince }

// Lookup returns the records of a job's tasks, including the queued ones.
func (g *Gate) Lookup(key model.JobKey) []wire.TaskRecord {
	list := g.records.list(key)
	for _, task := range g.queue {
		if task.Ref.Key == key && g.records.get(task.Ref) == nil {
			list = append(list, wire.TaskRecord{Ref: task.Ref, Entry: task.Entry, Phase: wire.PhaseQueued})
		}
	}
	return list
}

// NextTick returns the earliest time at which a queued task's wait or permit
// expires, or the zero time if no task is queued. The owner must apply Tick at
// that time.
func (g *Gate) NextTick(now time.Time) time.Time {
	var next time.Time
	for _, task := range g.queue {
		end := task.waitEnd()
		if permitEnd := g.permitWaitDeadline(task, now); permitEnd.Before(end) {
			end = permitEnd
		}
		if next.IsZero() || end.Before(next) {
			next = end
		}
	}
	return next
}

// permitWaitDeadline returns when the permit of a queued task expires or, if
// that permit has been lost already, when the wait for a new one ends.
func (g *Gate) permitWaitDeadline(task *queuedTask, now time.Time) time.Time {
	if task.permitLostAt.IsZero() {
		return now.Add(g.permits.Remaining(task.Entry, now))
	}
	return task.permitWaitEnd()
}

// permitChanged records a permit. If it grants no time and the entry has no
// live permit, the entry's queued tasks are handed back immediately, because
// the entry can dispatch them to another sidecar.
func (g *Gate) permitChanged(e PermitChanged, now time.Time) []Action {
	g.permits.RecordGrant(e.Entry, e.Permit, now)
	if e.Permit.TTL > 0 || g.permits.Valid(e.Entry, now) {
		return nil
	}
	out, _ := g.handBack(wire.ReasonNoPermit, func(task *queuedTask) bool { return task.Entry == e.Entry })
	return out
}

func (g *Gate) minionReady(slots int) {
	g.slots = slots
	if !g.draining {
		g.state = wire.TargetReady
	}
}

// stopIntake stops accepting tasks and hands back the queued ones, which are
// known not to have been started. Running tasks continue.
func (g *Gate) stopIntake(state wire.TargetState, reason wire.NotStartedReason) []Action {
	g.state = state
	if g.draining {
		g.state = wire.TargetDraining
	}
	out, _ := g.handBack(reason, func(*queuedTask) bool { return true })
	return out
}
