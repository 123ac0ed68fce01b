package session

import (
	"time"

	"github.com/figring/figring/work"
)

// StartRequest orders runs of tasks of one job.
type StartRequest struct {
	Echo Stamp
	// Number counts the requests of the session from 1.
	Number uint64
	Spec   string
	Tasks  []StartTask
}

// StartTask is one task to run.
type StartTask struct {
	Task     work.TaskKey
	Need     work.Resources
	Estimate time.Duration
	// Slack is how long the task may wait before its job misses its objective.
	Slack time.Duration
	// MaxWait bounds the wait for room; the task is handed back after it.
	MaxWait time.Duration
	// Label is one that the minion must have; empty for none.
	Label string
	// Checkpoint is where the run resumes; empty for the start of the task.
	Checkpoint work.Checkpoint
	// Kept means that the job is stored: an end of the task is not forgotten
	// before an entry has stored it.
	Kept bool
	// Expected is the wait that the entry has counted on. The sidecar refuses
	// the task when it expects a much longer one, so that the entry can choose
	// anew from a newer state.
	Expected time.Duration
}

// ExpectedMargin is how much longer than expected a wait may be.
const ExpectedMargin = 12 * time.Millisecond

// Refusal says why an order was refused. Nothing has run of a refused order.
type Refusal string

const (
	// RefusedNone means that the order was taken.
	RefusedNone Refusal = ""
	// RefusedRoom means that the wait for room would be longer than MaxWait.
	RefusedRoom Refusal = "room"
	// RefusedDraining means that the sidecar or its minion is leaving.
	RefusedDraining Refusal = "draining"
	// RefusedZone means that the availability zone is taken out.
	RefusedZone Refusal = "zone"
	// RefusedNoMinion means that no minion has announced itself.
	RefusedNoMinion Refusal = "no_minion"
	// RefusedLabel means that the minion has not the label that is asked for.
	RefusedLabel Refusal = "label"
	// RefusedStale means that the order may have been held up on its way.
	RefusedStale Refusal = "stale"
	// RefusedSuspect means that the minion is on trial and busy with it.
	RefusedSuspect Refusal = "suspect"
	// RefusedElsewhere means that the sidecar has enough other entries; this one
	// should close its session once nothing of it runs there.
	RefusedElsewhere Refusal = "elsewhere"
	// RefusedTaken means that a run of the task is there for another entry.
	RefusedTaken Refusal = "taken"
)

// StartReply has one refusal for each task of the request, in its order, and
// the state after it.
type StartReply struct {
	Refusals []Refusal
	State    State
}

// StopRequest ends everything of a job at the sidecar.
type StopRequest struct {
	Echo Stamp
	Job  work.JobID
}

// StopReply confirms that the stop is on its way; the ends follow as events.
type StopReply struct{}

// AnnounceRequest tells an entry about processes that it may not know.
type AnnounceRequest struct {
	Peers []Peer
}

// AnnounceReply tells the processes that the entry knows.
type AnnounceReply struct {
	Peers []Peer
}
