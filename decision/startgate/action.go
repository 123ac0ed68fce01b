package startgate

import (
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// Action is something that the sidecar has to do.
type Action interface{ action() }

// Start hands the task of a dispatch to the minion. The start must not happen
// later than PermitRemaining after the event.
type Start struct {
	ID              uint64
	Ref             model.TaskRef
	Attempt         int
	Deadline        time.Time
	PermitRemaining time.Duration
	QueueWait       time.Duration
}

// End ends a Run or Attach call.
type End struct {
	ID        uint64
	Status    wire.RunStatus
	Reason    wire.NotStartedReason
	Result    model.TaskResult
	QueueWait time.Duration
}

// WithdrawResult answers a Withdraw or Revoke event.
type WithdrawResult struct {
	Withdrawn int
	// Running lists the asked tasks that still run.
	Running []model.TaskRef
	// Started counts the asked tasks that were started, running or ended.
	Started int
}

func (Start) action()          {}
func (End) action()            {}
func (WithdrawResult) action() {}
