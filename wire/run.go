package wire

import (
	"time"

	"github.com/figring/figring/model"
)

// Methods of a sidecar.
const (
	MethodRun      = "Sidecar.Run"
	MethodAttach   = "Sidecar.Attach"
	MethodLookup   = "Sidecar.Lookup"
	MethodWithdraw = "Sidecar.Withdraw"
	MethodRevoke   = "Sidecar.Revoke"
)

// RunRequest dispatches one task to a sidecar. The call stays open until the task has
// ended or is known never to be started by this dispatch.
type RunRequest struct {
	// Entry is the incarnation of the entry whose permit is required to start the
	// task.
	Entry model.Incarnation
	// Sidecar is the incarnation of the sidecar that the task is dispatched to. Any
	// other incarnation, such as a restarted sidecar, rejects the request.
	Sidecar model.Incarnation
	Permit  Permit
	Ref     model.TaskRef
	Class   string
	Payload []byte
	// Timeout bounds the time from the receipt of the request to the end of the
	// task.
	Timeout time.Duration
	// MaxQueueWait bounds the wait for a slot, after which the task is handed back as
	// not started. Zero means that only Timeout bounds the wait.
	MaxQueueWait time.Duration
	// Repeatable means that an earlier run of the task is acceptable, as it is for a
	// retried idempotent request. The sidecar then rejects the dispatch as a
	// duplicate only while the task is queued or running.
	Repeatable bool
}

// RunStatus is the outcome of a Run or Attach call.
type RunStatus string

const (
	// RunDone means that the minion returned a complete response, which is in
	// Result.
	RunDone RunStatus = "done"
	// RunNotStarted guarantees that the sidecar did not start the task or that the
	// minion did not run it, and that this dispatch will never start it.
	RunNotStarted RunStatus = "not_started"
	// RunUnknown means that the task was sent to the minion but no complete response
	// was received. The task may have been run.
	RunUnknown RunStatus = "unknown"
	// RunDuplicate means that the sidecar already has a record of the task and did
	// not start it for this dispatch.
	RunDuplicate RunStatus = "duplicate"
)

// NotStartedReason is the reason why a task was handed back.
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
	// ReasonUnreachable is set by an entry that failed to send the request.
	ReasonUnreachable NotStartedReason = "unreachable"
)

// RunReply is the reply to a Run or Attach call.
type RunReply struct {
	Status RunStatus
	Reason NotStartedReason
	Result model.TaskResult
	// QueueWait is the time between the receipt of the request and the start of the
	// task.
	QueueWait time.Duration
	Load      Load
	// MessageNumber is the number of this message to the entry; see Permit.
	MessageNumber uint64
}

// AttachRequest waits for the end of a task that was dispatched to the sidecar by
// another call, possibly of another entry. It never starts a task.
type AttachRequest struct {
	Entry model.Incarnation
	Ref   model.TaskRef
}

// LookupRequest requests a sidecar's records of jobs whose entry has died.
type LookupRequest struct {
	Entry model.Incarnation
	Keys  []model.JobKey
}

// TaskPhase is the progress of a task at a sidecar.
type TaskPhase string

const (
	PhaseQueued  TaskPhase = "queued"
	PhaseStarted TaskPhase = "started"
	PhaseDone    TaskPhase = "done"
	PhaseUnknown TaskPhase = "unknown"
)

// TaskRecord is a sidecar's record of one task.
type TaskRecord struct {
	Ref   model.TaskRef
	Entry model.Incarnation
	Phase TaskPhase
	// HasResult reports whether Result is set. It is false for a done task whose
	// result is no longer kept.
	HasResult bool
	Result    model.TaskResult
}

// LookupReply contains the records of the requested jobs. This incarnation of the
// sidecar has not started any task without a record since RecordsSince.
type LookupReply struct {
	Sidecar model.Incarnation
	// Started is the wall-clock time at which this incarnation started. It has no
	// records of tasks that were dispatched to earlier incarnations.
	Started time.Time
	// First reports whether this is the first incarnation under its name.
	First bool
	// RecordsSince is the time since which the records are complete: every task
	// started later has a record.
	RecordsSince time.Time
	Records      []TaskRecord
}

// WithdrawRequest removes tasks of one job from the queue. Nil Indexes selects all
// tasks of the job. Each open Run call of a withdrawn task ends with RunNotStarted
// and ReasonWithdrawn.
type WithdrawRequest struct {
	Entry   model.Incarnation
	Key     model.JobKey
	Indexes []int
	// StopRunning makes the sidecar also ask the minion to stop running tasks.
	StopRunning bool
}

// WithdrawReply counts the withdrawn tasks and those that had been started already.
type WithdrawReply struct {
	Withdrawn int
	Started   int
}

// RevokeRequest ends the permit of an entry immediately and hands back all of its
// queued tasks.
type RevokeRequest struct {
	Entry         model.Incarnation
	BundleVersion int64
}

// RevokeReply contains the number of tasks that were handed back.
type RevokeReply struct {
	Withdrawn int
}
