package heldjob

import (
	"time"

	"github.com/figring/figring/work"
)

// Decision is one decision about a job, for the log.
type Decision struct {
	Kind    DecisionKind
	Job     work.JobID
	Request string
	Route   string
	Task    int
	Sidecar string
	Outcome Outcome
	Reason  string
	// Wait is the expected wait that decided; Age is how old the state was
	// that it was taken from.
	Wait time.Duration
	Age  time.Duration
	// Targets is the number of sidecars that were known to take orders.
	Targets int
}

// DecisionKind names what was decided.
type DecisionKind string

const (
	DecidedAdmitted  DecisionKind = "admitted"
	DecidedRefused   DecisionKind = "refused"
	DecidedJoined    DecisionKind = "joined"
	DecidedRepeated  DecisionKind = "repeated"
	DecidedTaskFreed DecisionKind = "task_freed"
	DecidedAnswered  DecisionKind = "answered"
	DecidedDisowned  DecisionKind = "disowned"
)

func (c *Core) recordDecision(decision Decision) { c.decisions = append(c.decisions, decision) }
