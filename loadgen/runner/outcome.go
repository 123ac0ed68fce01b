package runner

import (
	"time"

	"github.com/figring/figring/model"
)

// The codes of outcomes that no answer gave.
const (
	// CodeComplete is the code of a complete job.
	CodeComplete = "complete"
	// CodeLost is the code of a job without a whole answer.
	CodeLost = "lost"
)

// Outcome is what came of one job of the trace.
type Outcome struct {
	// Job is the index in the trace.
	Job    int    `json:"job"`
	Key    string `json:"key"`
	Caller string `json:"caller"`
	Class  string `json:"class"`
	// IntendedNs and EndNs count from the start of the run.
	IntendedNs int64 `json:"intendedNs"`
	EndNs      int64 `json:"endNs"`
	// SentLateNs is how late the load tool itself was.
	SentLateNs int64 `json:"sentLateNs"`
	// Code is CodeComplete, CodeLost, or that of the last refusal or failure.
	Code    string        `json:"code"`
	Result  model.Outcome `json:"outcome"`
	Tries   int           `json:"tries"`
	Refused int           `json:"refused"`
}

// Complete reports whether the job has its whole answer.
func (o *Outcome) Complete() bool { return o.Code == CodeComplete }

// Response returns the time from the intended arrival to the answer.
func (o *Outcome) Response() time.Duration {
	return time.Duration(o.EndNs - o.IntendedNs)
}
