package heldjob

import "time"

// Outcome is the result of a submission as reported to the caller.
type Outcome int

const (
	// Completed means that all tasks are done.
	Completed Outcome = iota + 1
	// Failed means that a task has used up the attempts that its route allows.
	Failed
	// Refused means that nothing of the job has run and that this submission will not
	// cause it to run.
	Refused
	// GivenUp means that the entry no longer pursues the job, of which tasks may
	// have run, or that it is unknown whether the job was stored.
	GivenUp
	// NoRoute means that no route matches the job.
	NoRoute
	// Cancelled means that a caller cancelled the job.
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

// Reason says why a job was refused, failed or was given up.
type Reason string

const (
	ReasonNone        Reason = ""
	ReasonOverload    Reason = "overload"
	ReasonNoManifest  Reason = "no_manifest"
	ReasonNoTargets   Reason = "no_targets"
	ReasonUnsupported Reason = "unsupported"
	ReasonTooLate     Reason = "too_late"
	ReasonDeadline    Reason = "deadline"
	ReasonCallerGone  Reason = "caller_gone"
	ReasonTaskFailed  Reason = "task_failed"
	// ReasonPoison means that minions crash under a task of the job.
	ReasonPoison           Reason = "poison"
	ReasonDraining         Reason = "draining"
	ReasonStoreUnavailable Reason = "store_out"
	ReasonTooManyJobs      Reason = "too_many_jobs"
	// ReasonJobMemory means that the jobs of the entry take too much memory.
	ReasonJobMemory Reason = "job_memory"
	// ReasonNotStorable means that the job store does not accept the job's size.
	ReasonNotStorable Reason = "not_storable"
)

// Answer is the reply to a submission.
type Answer struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is how long the caller should wait before it submits again; 0 if it
	// should not.
	RetryAfter time.Duration
}
