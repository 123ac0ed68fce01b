package heldjob

import "time"

// Outcome is what a caller is told about its submission.
type Outcome int

const (
	// Completed means that all tasks are done.
	Completed Outcome = iota + 1
	// Failed means that a task has failed as often as its route allows.
	Failed
	// Refused means that the job has not run and never will by this submission.
	Refused
	// GivenUp means that the job may have run in part and is not continued.
	GivenUp
	// NoRoute means that no route takes the job.
	NoRoute
	// Cancelled means that a caller has cancelled the job.
	Cancelled
	// Accepted means that the job is stored and will be run.
	Accepted
)

var outcomeNames = map[Outcome]string{
	Completed: "completed",
	Failed:    "failed",
	Refused:   "refused",
	GivenUp:   "given_up",
	NoRoute:   "no_route",
	Cancelled: "cancelled",
	Accepted:  "accepted",
}

// String returns the name of the outcome for logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Reason says why a job was refused or given up.
type Reason string

const (
	ReasonNone             Reason = ""
	ReasonOverload         Reason = "overload"
	ReasonNoManifest       Reason = "no_manifest"
	ReasonNoTargets        Reason = "no_targets"
	ReasonUnsupported      Reason = "unsupported"
	ReasonTooLate          Reason = "too_late"
	ReasonDeadline         Reason = "deadline"
	ReasonCallerGone       Reason = "caller_gone"
	ReasonTaskFailed       Reason = "task_failed"
	ReasonDraining         Reason = "draining"
	ReasonStoreUnavailable Reason = "store_out"
	ReasonTooManyJobs      Reason = "too_many_jobs"
)

// Answer ends a submission.
type Answer struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is when a refused caller should come back; 0 for never.
	RetryAfter time.Duration
}
