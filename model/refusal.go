package model

import (
	"fmt"
	"time"
)

// Code is the stable, machine-readable reason of a refusal or a failure.
type Code string

// The codes of refusals and failures. They are part of the HTTP interface for
// callers.
const (
	CodeInvalid          Code = "invalid_request"
	CodeUnauthenticated  Code = "unauthenticated"
	CodeForbidden        Code = "forbidden"
	CodeNotFound         Code = "not_found"
	CodeKeyConflict      Code = "key_conflict"
	CodeKeyExpired       Code = "key_expired"
	CodeInProgress       Code = "in_progress"
	CodeOverloaded       Code = "overloaded"
	CodeQuota            Code = "quota_exceeded"
	CodeNoCapacity       Code = "no_capacity"
	CodeUnrunnable       Code = "unrunnable"
	CodeDeadline         Code = "deadline_exceeded"
	CodeCancelled        Code = "cancelled"
	CodeTaskFailed       Code = "task_failed"
	CodeTaskUnknown      Code = "task_unknown"
	CodeStoreUnavailable Code = "store_unavailable"
	CodeDraining         Code = "draining"
	CodeOwnerMoved       Code = "owner_moved"
	CodeOwnerUnreachable Code = "owner_unreachable"
	CodeVersionConflict  Code = "version_conflict"
	CodeTooLarge         Code = "too_large"
	CodeAnswerGone       Code = "answer_gone"
	CodeInternal         Code = "internal"
)

// Refusal is a terminal response that is not the answer of a job. It gives the
// reason, what is known about whether the work was run, and when to retry.
type Refusal struct {
	Code    Code
	Outcome Outcome
	Detail  string
	// RetryAfter is the delay before a retry; zero when a retry is of no use.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Detail)
}

// NewRefusal returns a refusal of work that was proved not to have run.
func NewRefusal(code Code, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: NotRun, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}
