package routing

import (
	"net/http"
	"time"

	"github.com/figring/figring/wire"
)

// firstErrorStatus is the lowest task status that counts as a failure.
const firstErrorStatus = 400

// cancelledStatus is the status of a task that was stopped while it ran because
// its job had ended. It counts neither for nor against the target.
const cancelledStatus = http.StatusConflict

// DispatchResult is the result of sending one task to a target.
type DispatchResult struct {
	Caller string
	Class  string
	Status wire.RunStatus
	Reason wire.NotStartedReason
	// TaskStatus is the status code of the minion if Status is RunDone.
	TaskStatus int
	RunTime    time.Duration
	QueueWait  time.Duration
	// Elapsed is the time from the request to the reply; zero if unknown.
	Elapsed time.Duration
	// Load is the load of the sidecar in the reply. If its Sequence is zero, the
	// reply had none.
	Load wire.Load
}

// verdict says whether a result counts for or against the health of its target.
type verdict uint8

const (
	verdictNone verdict = iota
	verdictSuccess
	verdictFailure
)

func (r DispatchResult) verdict() verdict {
	switch r.Status {
	case wire.RunDone:
		return taskVerdict(r.TaskStatus)
	case wire.RunUnknown:
		return verdictFailure
	case wire.RunNotStarted:
		if r.Reason == wire.ReasonMinionRefused {
			return verdictFailure
		}
	}
	return verdictNone
}

func taskVerdict(taskStatus int) verdict {
	switch {
	case taskStatus == cancelledStatus:
		return verdictNone
	case taskStatus >= firstErrorStatus:
		return verdictFailure
	}
	return verdictSuccess
}
