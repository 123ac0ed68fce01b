package heldjob

import (
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// Decision is a decision about a job, for the log.
type Decision struct {
	Kind    DecisionKind
	Job     work.JobID
	Request string
	Route   string
	Task    int
	Sidecar string
	Outcome Outcome
	Reason  string
	// Wait is the expected wait for room on which the decision was based. Age is the
	// age of the oldest sidecar state from which Wait was computed.
	Wait time.Duration
	Age  time.Duration
	// Targets is the number of sidecars that were known: on admission the connected
	// ones, on refusal those of them that accept tasks.
	Targets int
	// Shed means that the job was refused for the sake of other classes or because its
	// class has used up its share.
	Shed bool
	// Crashes is the number of minions that crashed under a task, or of the jobs for
	// which a route is confined.
	Crashes int
	// Epoch is the epoch that a job has begun.
	Epoch session.Epoch
	// Share is the failure share of a minion above that of the others, from 0 to 1, or the
	// share by which run times of the kind Slowed grow beside the kind Beside.
	Share          float64
	Slowed, Beside string
}

// DecisionKind is the kind of a Decision; the log events use its value.
type DecisionKind string

const (
	DecidedAdmitted  DecisionKind = "admitted"
	DecidedRefused   DecisionKind = "refused"
	DecidedJoined    DecisionKind = "joined"
	DecidedRepeated  DecisionKind = "repeated"
	DecidedTaskFreed DecisionKind = "task_freed"
	DecidedAnswered  DecisionKind = "answered"
	DecidedDisowned  DecisionKind = "disowned"
	// DecidedWithdrawn means that the runs of a stored job are stopped, because another entry
	// may take the job over.
	DecidedWithdrawn DecisionKind = "runs_withdrawn"
	// DecidedEpochBegun means that runs of a stored job are given up of which no end is known.
	DecidedEpochBegun DecisionKind = "epoch_begun"
	// DecidedPoison means that a task is given up because minions crash under it.
	DecidedPoison DecisionKind = "poison"
	// DecidedYields means that a job waits because one of its tasks, which may have
	// crashed a minion, leaves the room of its route to new jobs.
	DecidedYields DecisionKind = "yields"
	// DecidedRouteConfined and DecidedRouteReleased mean that a route gets only a few
	// sidecars of its service, and all of them again.
	DecidedRouteConfined DecisionKind = "route_confined"
	DecidedRouteReleased DecisionKind = "route_released"
	// DecidedMinionAvoided and DecidedMinionUsed mean that tasks begin to avoid a minion
	// because more of its runs fail than of others', and that they use it again.
	DecidedMinionAvoided DecisionKind = "minion_avoided"
	DecidedMinionUsed    DecisionKind = "minion_used"
	// DecidedPairFound and DecidedPairDropped mean that two kinds of tasks begin and cease
	// to count as slowing each other down.
	DecidedPairFound   DecisionKind = "pair_found"
	DecidedPairDropped DecisionKind = "pair_dropped"
)

func (c *Core) recordDecision(decision Decision) { c.decisions = append(c.decisions, decision) }
