package execution

import "github.com/figring/figring/work"

// Action is a call to the minion, or a notification of an entry, that the
// executor has to carry out.
type Action interface{ action() }

// Start orders the minion to start a run.
type Start struct {
	Task   work.TaskKey
	Number int
	Spec   string
	Fence  int64
	// Checkpoint is the checkpoint to resume from; empty to run the task from its
	// beginning.
	Checkpoint work.Checkpoint
}

// Stop orders the minion to stop a run.
type Stop struct {
	Task   work.TaskKey
	Number int
	Fence  int64
}

// Poll asks for a poll of the minion that is answered at once. The poll carries
// the fence.
type Poll struct{ Fence int64 }

// NotifyEntry asks to notify an entry. Event is true for an event of the entry's
// own and false if only the sidecar's state has changed.
type NotifyEntry struct {
	Entry string
	Event bool
}

func (Start) action()       {}
func (Stop) action()        {}
func (Poll) action()        {}
func (NotifyEntry) action() {}

// StartOutcome is the result of sending a Start to the minion.
type StartOutcome int

const (
	// Started means that the minion has the run.
	Started StartOutcome = iota + 1
	// StartFenced means that the minion has seen a higher fence and did nothing.
	StartFenced
	// StartNumberUsed means that the run number was used before and the minion did
	// nothing.
	StartNumberUsed
	// StartLate means that the order arrived after its own deadline and the minion
	// did nothing.
	StartLate
	// StartNoRoom means that the minion lacks capacity and did nothing.
	StartNoRoom
	// StartRejected means that the minion rejected the order and did nothing.
	StartRejected
	// StartUnanswered means that no answer arrived; the minion may have started the
	// run or may still start it.
	StartUnanswered
)

var startOutcomeNames = map[StartOutcome]string{
	Started:         "started",
	StartFenced:     "fenced",
	StartNumberUsed: "old",
	StartLate:       "late",
	StartNoRoom:     "no_room",
	StartRejected:   "rejected",
	StartUnanswered: "unanswered",
}

// String returns the name of the outcome in logs and metrics.
func (o StartOutcome) String() string { return startOutcomeNames[o] }

// Listing is the minion's answer to a poll: the runs that it has.
type Listing struct {
	// Poll is the number of the poll that the listing answers. Polls are numbered
	// in the order of sending.
	Poll uint64
	// Fence is the fence that the poll carried.
	Fence    int64
	Born     int64
	Running  []RunningRun
	Finished []FinishedRun
	// Partial means that the minion has more runs than the listing holds. A run that is
	// missing from the listing may be one of them.
	Partial bool
	// Truncated means that the minion has ends that it will list only once older ones are
	// acknowledged.
	Truncated bool
	// Malformed is the number of rows that could not be decoded.
	Malformed int
}

// mayContain reports whether the minion incarnation that answered may have the
// run: the listing shows the run, or the poll was sent before the run was known
// to have started.
func (l *Listing) mayContain(run *run) bool {
	if run.firstPoll > l.Poll {
		return true
	}
	for _, listed := range l.Running {
		if listed.Task == run.task && listed.Number == run.number {
			return true
		}
	}
	for _, listed := range l.Finished {
		if listed.Task == run.task && listed.Number == run.number {
			return true
		}
	}
	return false
}

// RunningRun is a run in progress at the minion.
type RunningRun struct {
	Task    work.TaskKey
	Number  int
	Percent int
	// Checkpoint is the newest checkpoint that the run has saved; empty for none.
	Checkpoint work.Checkpoint
}

// FinishedRun is a run that ended and that the minion has not been told to
// forget.
type FinishedRun struct {
	// Sequence numbers the ended runs of one minion incarnation from 1.
	Sequence uint64
	Task     work.TaskKey
	Number   int
	End      work.End
	// Checkpoint is the newest checkpoint that the run has saved; empty for none.
	Checkpoint work.Checkpoint
}
