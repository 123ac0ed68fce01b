package startgate

import (
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// Action is an operation that the sidecar must perform.
type Action interface{ action() }

// Start sends the task of a dispatch to the minion. The task must not start
// later than PermitRemaining after the time of the event.
type Start struct {
	ID              uint64
	Ref             model.TaskRef
	Attempt         int
	Deadline        time.Time
	PermitRemaining time.Duration
	QueueWait       time.Duration
}

// End completes a Run or Attach call.
type End struct {
	ID        uint64
	Status    wire.RunStatus
	Reason    wire.NotStartedReason
	Result    model.TaskResult
	QueueWait time.Duration
}

// WithdrawResult is the reply to a Withdraw or Revoke event. Revoke sets only
// Withdrawn.
type WithdrawResult struct {
	// Withdrawn counts the tasks removed from the queue.
	Withdrawn int
	// Running lists the requested tasks that are still running.
	Running []model.TaskRef
	// Started counts the requested tasks that were started, whether they are
	// still running or have ended.
	Started int
}

func (Start) action()          {}
func (End) action()            {}
func (WithdrawResult) action() {}
