package wire

import (
	"time"

	"github.com/figring/figring/model"
)

// The methods of a sidecar.
const (
	MethodRun      = "Sidecar.Run"
	MethodAttach   = "Sidecar.Attach"
	MethodLookup   = "Sidecar.Lookup"
	MethodWithdraw = "Sidecar.Withdraw"
	MethodRevoke   = "Sidecar.Revoke"
)

// RunRequest hands one task to a sidecar. The call stays open until the task
// has ended or is provably not going to be started.
type RunRequest struct {
	// Entry is the incarnation whose permit the start needs.
	Entry model.Incarnation
	// Sidecar is the incarnation that the task is meant for. A restarted
	// sidecar rejects it.
	Sidecar model.Incarnation
	Permit  Permit
	Ref     model.TaskRef
	Class   string
	Payload []byte
	// Timeout bounds the time from receipt to the end of the task.
	Timeout time.Duration
	// MaxQueueWait bounds the wait for a slot. The task is then handed back as not
	// started. Zero means no bound but Timeout.
	MaxQueueWait time.Duration
	// Repeatable says that the task may have been run before by intent, as a
	// retried idempotent request has; the sidecar then does not deduplicate.
	Repeatable bool
}

// RunStatus says what became of a task at a sidecar.
type RunStatus string

const (
	// RunDone means that the minion ran the task and answered; see Result.
	RunDone RunStatus = "done"
	// RunNotStarted is a proof that this sidecar did not start the task and
	// that this dispatch of it never will.
	RunNotStarted RunStatus = "not_started"
	// RunUnknown means that the task was handed to the minion and that no
	// whole answer came back. It may have been run.
	RunUnknown RunStatus = "unknown"
	// RunDuplicate means that the sidecar already holds a record of the task;
	// nothing was started by this dispatch.
	RunDuplicate RunStatus = "duplicate"
)

// NotStartedReason says why a task was handed back.
type NotStartedReason string

const (
	ReasonQueueFull        NotStartedReason = "queue_full"
	ReasonQueueTimeout     NotStartedReason = "queue_timeout"
	ReasonNoPermit         NotStartedReason = "no_permit"
	ReasonWrongIncarnation NotStartedReason = "wrong_incarnation"
	ReasonDraining         NotStartedReason = "draining"
	ReasonNoMinion         NotStartedReason = "no_minion"
	ReasonWithdrawn        NotStartedReason = "withdrawn"
	ReasonDeadline         NotStartedReason = "deadline"
	ReasonMinionRefused    NotStartedReason = "minion_refused"
	// ReasonUnreachable is set by an entry that could not send the task.
	ReasonUnreachable NotStartedReason = "unreachable"
)

// RunReply ends a Run or Attach call.
type RunReply struct {
	Status RunStatus
	Reason NotStartedReason
	Result model.TaskResult
	// QueueWait is the time between receipt and start.
	QueueWait time.Duration
	Load      Load
	// MessageNumber numbers the sidecar's messages to this entry; see Permit.
	MessageNumber uint64
}

// AttachRequest waits for the end of a task that a sidecar has started for
// another entry. It never starts anything.
type AttachRequest struct {
	Entry model.Incarnation
	Ref   model.TaskRef
}

// LookupRequest asks what a sidecar knows about jobs of a dead entry.
type LookupRequest struct {
	Entry model.Incarnation
	Keys  []model.JobKey
}

// TaskPhase is how far a task has come at a sidecar.
type TaskPhase string

const (
	PhaseQueued  TaskPhase = "queued"
	PhaseStarted TaskPhase = "started"
	PhaseDone    TaskPhase = "done"
	PhaseUnknown TaskPhase = "unknown"
)

// TaskRecord is what a sidecar knows about one task.
type TaskRecord struct {
	Ref   model.TaskRef
	Entry model.Incarnation
	Phase TaskPhase
	// HasResult is false for a done task whose result is no longer kept.
	HasResult bool
	Result    model.TaskResult
}

// LookupReply lists the records of the asked jobs. Tasks without a record
// were not started by this incarnation of the sidecar.
type LookupReply struct {
	Sidecar model.Incarnation
	// Started is the wall-clock time at which this incarnation began: it knows
	// nothing of tasks that were handed to a predecessor.
	Started time.Time
	// First is true when this is the first incarnation under its name.
	First bool
	// RecordsSince is the time since which no record has been dropped.
	RecordsSince time.Time
	Records      []TaskRecord
}

// WithdrawRequest takes back tasks that have not been started, all of one job
// when Indexes is nil. Each open Run call of a withdrawn task ends with
// RunNotStarted and ReasonWithdrawn.
type WithdrawRequest struct {
	Entry   model.Incarnation
	Key     model.JobKey
	Indexes []int
	// StopRunning also asks the minion to stop tasks that run.
	StopRunning bool
}

// WithdrawReply counts what was taken back and what had been started.
type WithdrawReply struct {
	Withdrawn int
	Started   int
}

// RevokeRequest ends the permit of an entry at once and hands back all of its
// tasks that have not been started.
type RevokeRequest struct {
	Entry         model.Incarnation
	BundleVersion int64
}

// RevokeReply counts the tasks that were handed back.
type RevokeReply struct {
	Withdrawn int
}
