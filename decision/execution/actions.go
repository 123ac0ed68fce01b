package execution

import "github.com/figring/figring/work"

// Action is a call to the minion that the core asks for.
type Action interface{ action() }

// Start orders the minion to start a run.
type Start struct {
	Task   work.TaskKey
	Number int
	Spec   string
	Fence  int64
	// Checkpoint is where the run resumes; empty for the start of the task.
	Checkpoint work.Checkpoint
}

// Stop orders the minion to stop a run.
type Stop struct {
	Task   work.TaskKey
	Number int
	Fence  int64
}

// Poll asks for the minion's lists at once, under the fence.
type Poll struct{ Fence int64 }

// NotifyEntry says that news wait for an entry: an event of its own, or only a changed
// state.
type NotifyEntry struct {
	Entry string
	Event bool
}

func (Start) action() {}
func (Stop) action()  {}
func (Poll) action()  {}
func (NotifyEntry) action()  {}

// StartOutcome is the minion's answer to a start.
type StartOutcome int

const (
	// Started means that the run is there.
	Started StartOutcome = iota + 1
	// StartFenced means that the minion has seen a higher fence; nothing was done.
	StartFenced
	// StartNumberUsed means that the run's number is used up; nothing was done.
	StartNumberUsed
	// StartLate means that the order came after its own deadline; nothing was done.
	StartLate
	// StartNoRoom means that the minion has no room; nothing was done.
	StartNoRoom
	// StartRejected means that the minion does not take the order; nothing was done.
	StartRejected
	// StartUnanswered means that the order may be carried out, now or later.
	StartUnanswered
)

var startOutcomeNames = map[StartOutcome]string{
	Started:         "started",
	StartFenced:     "fenced",
	StartNumberUsed:        "old",
	StartLate:       "late",
	StartNoRoom:     "no_room",
	StartRejected:   "rejected",
	StartUnanswered: "unanswered",
}

// String returns the name of the outcome for logs.
func (o StartOutcome) String() string { return startOutcomeNames[o] }

// Listing is the minion's account of its runs.
type Listing struct {
	// Poll numbers the call that the listing answers, in the order of sending.
	Poll uint64
	// Fence is the fence that the call carried.
	Fence    int64
	Born     int64
	Running  []RunningRun
	Finished []FinishedRun
	// Partial means that there are more finished runs than the listing holds. A
	// run that it does not show may be among them.
	Partial bool
}

// mayContain reports whether the incarnation that answered may have the run: the
// listing shows it, or was asked for before the run was known to have started.
func (l *Listing) mayContain(run *run) bool {
	if run.firstPoll > l.Poll {
		return true
	}
	for _, one := range l.Running {
		if one.Task == run.task && one.Number == run.number {
			return true
		}
	}
	for _, one := range l.Finished {
		if one.Task == run.task && one.Number == run.number {
			return true
		}
	}
	return false
}

// RunningRun is a run at work.
type RunningRun struct {
	Task    work.TaskKey
	Number  int
	Percent int
	// Checkpoint is the newest that the run has saved; empty for none.
	Checkpoint work.Checkpoint
}

// FinishedRun is a run that ended and that the minion was not told to forget.
type FinishedRun struct {
	// Sequence numbers the ends of an incarnation from 1.
	Sequence uint64
	Task     work.TaskKey
	Number   int
	End      work.End
	// Checkpoint is the newest that the run has saved; empty for none.
	Checkpoint work.Checkpoint
}
