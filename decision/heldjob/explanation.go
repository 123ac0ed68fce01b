package heldjob

import (
	"time"

	"github.com/figring/figring/decision/classload"
	"github.com/figring/figring/decision/placement"
	"github.com/figring/figring/manifest"
	"github.com/figring/figring/work"
)

// Explanation says what would become of a submission now, and why.
type Explanation struct {
	// Route is the route of the job; zero if there is none.
	Route manifest.Route
	// Answer is the answer of a submission that would not be admitted; its Outcome is
	// Accepted for a job that would be stored and 0 for one that would be placed.
	Answer Answer
	Stored bool
	// Shed means that the job would be refused for the sake of other classes or because
	// its class has used up its share.
	Shed bool
	// Settling means that the entry has just started. A job without room then waits.
	Settling bool
	// Targets is the number of sidecars that accept tasks.
	Targets int
	// Slack is how long the tasks may wait, MaxWait the longest expected wait, multiplied
	// by WaitFactor, with which they are placed.
	Slack, MaxWait time.Duration
	WaitFactor     float64
	// Wait is the longest expected wait of a task; for a stored job that of a new one. Age
	// is the age of the oldest sidecar state from which it was computed.
	Wait, Age time.Duration
	// Class is the load of the job's class; nil if classes have no order.
	Class *classload.View
	// TaskCount is the number of tasks of the job. Tasks holds the first that would be
	// placed now, and the ones that find no place.
	TaskCount int
	Tasks     []ExplainedTask
}

// ExplainedTask says where a task would be placed now.
type ExplainedTask struct {
	Task work.TaskKey
	// Sidecar is the best one; empty if all are ruled out. Placed is false if the wait there
	// is too long.
	Sidecar string
	Placed  bool
	Wait    time.Duration
	// Candidates are the sidecars that were compared, for the first tasks only.
	Candidates []ExplainedCandidate
}

// ExplainedCandidate says how well a sidecar suits a task, or why it is ruled out.
type ExplainedCandidate struct {
	Sidecar, Zone string
	// Age is the age of the sidecar's state.
	Age        time.Duration
	Assessment placement.Assessment
}

// Verdict returns the outcome of the submission for people and logs.
func (e *Explanation) Verdict() string {
	if e.Answer.Outcome == 0 {
		return string(DecidedAdmitted)
	}
	return e.Answer.Outcome.String()
}
