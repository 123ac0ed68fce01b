package startgate

import (
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// Event is something that happened at a sidecar.
type Event interface{ event() }

// Dispatch is an entry's Run call. ID is unique among the calls of this
// process; Deadline ends the wait and the run, QueueDeadline only the wait, and is
// zero for no bound of its own.
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

// Attach waits for the end of a task without starting it.
type Attach struct {
	ID    uint64
	Entry model.Incarnation
	Ref   model.TaskRef
}

// PermitChanged carries a permit that came outside a dispatch.
type PermitChanged struct {
	Entry  model.Incarnation
	Permit wire.Permit
}

// MinionReady means that the minion takes work on Slots slots.
type MinionReady struct{ Slots int }

// MinionLeaving means that the minion takes no more work.
type MinionLeaving struct{}

// MinionLost means that the minion fell silent.
type MinionLost struct{}

// Drain means that the sidecar stops. It can't be taken back.
type Drain struct{}

// Withdraw takes back what is queued of a job; nil Indexes means all of it.
type Withdraw struct {
	Key     model.JobKey
	Indexes []int
}

// Revoke ends an entry's permit and hands back what is queued for it.
type Revoke struct {
	Entry         model.Incarnation
	BundleVersion int64
}

// Tick lets time pass; see Gate.NextTick.
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
