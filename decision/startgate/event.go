package startgate

import (
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// Event is an input to Gate.Apply.
type Event interface{ event() }

// Dispatch is a Run call from an entry. ID is unique among the calls of this
// process. Deadline bounds the wait in the queue and the run; QueueDeadline
// bounds only the wait, and the zero time means no separate bound.
type Dispatch struct {
	ID            uint64
	Entry         model.Incarnation
	Sidecar       model.Incarnation
	Permit        wire.Permit
	Ref           model.TaskRef
	Deadline      time.Time
	QueueDeadline time.Time
	Repeatable    bool
}

// Attach is a call that waits for the end of a task without starting it.
type Attach struct {
	ID    uint64
	Entry model.Incarnation
	Ref   model.TaskRef
}

// PermitChanged carries a permit that was received outside a dispatch.
type PermitChanged struct {
	Entry  model.Incarnation
	Permit wire.Permit
}

// MinionReady means that the minion accepts tasks and has the given number of
// slots.
type MinionReady struct{ Slots int }

// MinionLeaving means that the minion accepts no more tasks.
type MinionLeaving struct{}

// MinionLost means that the minion has stopped announcing itself.
type MinionLost struct{}

// Drain means that the sidecar is shutting down. It is irreversible.
type Drain struct{}

// Withdraw removes queued tasks of a job from the queue. Nil Indexes selects
// all tasks of the job.
type Withdraw struct {
	Key     model.JobKey
	Indexes []int
}

// Revoke ends an entry's permit and hands back the entry's queued tasks.
type Revoke struct {
	Entry         model.Incarnation
	BundleVersion int64
}

// Tick only advances the time; see Gate.NextTick.
type Tick struct{}

// TaskEnded reports the end of a started task.
type TaskEnded struct {
	Ref     model.TaskRef
	Outcome EndOutcome
	Result  model.TaskResult
}

func (Dispatch) event()      {}
func (Attach) event()        {}
func (PermitChanged) event() {}
func (MinionReady) event()   {}
func (MinionLeaving) event() {}
func (MinionLost) event()    {}
func (Drain) event()         {}
func (Withdraw) event()      {}
func (Revoke) event()        {}
func (Tick) event()          {}
func (TaskEnded) event()     {}
