package routing

import (
	"net/http"
	"time"

	"github.com/figring/figring/wire"
)

// firstErrorStatus is the lowest task status that counts as failed.
const firstErrorStatus = 400

// stoppedStatus is the status of a task that was stopped while it ran, because
// its job had ended. It says nothing about the target.
const stoppedStatus = http.StatusConflict

// DispatchResult tells what became of a dispatch.
type DispatchResult struct {
	Caller string
	Class  string
	Status wire.RunStatus
	Reason wire.NotStartedReason
	// TaskStatus is the minion's status code when Status is RunDone.
	TaskStatus int
	RunTime    time.Duration
	QueueWait  time.Duration
	// Elapsed is the time from sending to the reply; zero if unknown.
	Elapsed time.Duration
	// Load is the sidecar's load in the reply; a Sequence of zero means none.
	Load wire.Load
}

// verdict is what a report says about its target's health.
type verdict uint8

const (
	verdictNone verdict = iota
	verdictGood
	verdictBad
)

func (r DispatchResult) verdict() verdict {
	switch r.Status {
	case wire.RunDone:
		return doneVerdict(r.TaskStatus)
	case wire.RunUnknown:
		return verdictBad
	case wire.RunNotStarted:
		if r.Reason == wire.ReasonMinionRefused {
			return verdictBad
		}
	}
	return verdictNone
}

func doneVerdict(taskStatus int) verdict {
	switch {
	case taskStatus == stoppedStatus:
		return verdictNone
	case taskStatus >= firstErrorStatus:
		return verdictBad
	}
	return verdictGood
}
