package runner

import (
	"time"

	"github.com/figring/figring/model"
)

// Outcome codes that the runner assigns itself.
const (
	// CodeComplete is the code of a complete job.
	CodeComplete = "complete"
	// CodeLost is the code of a job without a complete response.
	CodeLost = "lost"
)

// Outcome is the outcome of one job of the trace.
type Outcome struct {
	// Job is the index into the trace.
	Job    int    `json:"job"`
	Key    string `json:"key"`
	Caller string `json:"caller"`
	Class  string `json:"class"`
	// IntendedNs and EndNs are relative to the start of the run.
	IntendedNs int64 `json:"intendedNs"`
	EndNs      int64 `json:"endNs"`
	// SentLateNs is the delay caused by the load generator itself: how long
	// after its intended time the job was sent.
	SentLateNs int64 `json:"sentLateNs"`
	// Code is CodeComplete, CodeLost, or the code of the last refusal or
	// failure.
	Code    string        `json:"code"`
	Result  model.Outcome `json:"outcome"`
	Tries   int           `json:"tries"`
	Refused int           `json:"refused"`
}

// Complete reports whether the job completed and its response was received.
func (o *Outcome) Complete() bool { return o.Code == CodeComplete }

// Response returns the response time, measured from the intended submission
// time.
func (o *Outcome) Response() time.Duration {
	return time.Duration(o.EndNs - o.IntendedNs)
}
