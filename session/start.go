package session

import (
	"time"

	"github.com/figring/figring/work"
)

// StartRequest asks a sidecar to run tasks of one job.
type StartRequest struct {
	Echo Stamp
	// Number is the sequence number of the request within the session, from 1.
	Number uint64
	Spec   string
	Tasks  []StartTask
}

// StartTask is one task to run.
type StartTask struct {
	Task work.TaskKey
	// Attempt is the number of failed runs of the task before this one, plus 1; 0 from
	// builds without it.
	Attempt int
	// Epoch is the epoch of the task's job; UnknownEpoch from builds without it and for a
	// best-effort job.
	Epoch Epoch
	// Route is the name of the job's route.
	Route    string
	Need     work.Resources
	Estimate time.Duration
	// Slack is how long the task may wait before its job misses its latency
	// objective.
	Slack time.Duration
	// MaxWait bounds the time in the sidecar's queue; after that the sidecar
	// returns the task to the entry.
	MaxWait time.Duration
	// Label is a label that the minion must have; empty for none.
	Label string
	// Checkpoint is the point from which the run resumes; empty to start over.
	Checkpoint work.Checkpoint
	// Isolation says how the task is started among the others of the minion.
	Isolation Isolation
	// Stored means that the job is in the job store: the sidecar keeps the task's
	// end until an entry has stored it.
	Stored bool
	// ExpectedWait is the queueing time that the entry has estimated. The sidecar
	// refuses the task when its own estimate exceeds it by more than
	// ExpectedWaitMargin, so that the entry can choose again from a newer state.
	ExpectedWait time.Duration
	// Image is the image of the task's step; empty if the job names none, or if kinds of
	// tasks are not distinguished.
	Image string
	// QueueDelay is added to the latest start time of the task for its position in the
	// sidecar's queue and for nothing else; 0 from builds without it.
	QueueDelay time.Duration
}

// Kind returns the kind of the task: its image, or else its route.
func (t *StartTask) Kind() string {
	if t.Image != "" {
		return t.Image
	}
	return t.Route
}

// QueueSlack returns the time until the latest start time by which the task is queued.
func (t *StartTask) QueueSlack() time.Duration { return t.Slack + t.QueueDelay }

// ExpectedWaitMargin is how far the sidecar's estimate of the queueing time may
// exceed StartTask.ExpectedWait.
const ExpectedWaitMargin = 12 * time.Millisecond

// Refusal is the reason why a sidecar refused to run a task. A refused task has
// not been started.
type Refusal string

const (
	// RefusedNone means that the task was accepted.
	RefusedNone Refusal = ""
	// RefusedRoom means that the queueing time would exceed MaxWait.
	RefusedRoom Refusal = "room"
	// RefusedDraining means that the sidecar or its minion is draining.
	RefusedDraining Refusal = "draining"
	// RefusedZone means that the availability zone is evacuated.
	RefusedZone Refusal = "zone"
	// RefusedNoMinion means that no minion has registered with the sidecar.
	RefusedNoMinion Refusal = "no_minion"
	// RefusedLabel means that the minion lacks the required label.
	RefusedLabel Refusal = "label"
	// RefusedStale means that the request may have been delayed in transit for
	// too long.
	RefusedStale Refusal = "stale"
	// RefusedSuspect means that the minion is suspect and already runs its trial
	// tasks, or that the next trial is not due yet.
	RefusedSuspect Refusal = "suspect"
	// RefusedTooManyEntries means that the sidecar has sessions with enough other
	// entries; this entry should close its session once none of its tasks is
	// left there.
	RefusedTooManyEntries Refusal = "elsewhere"
	// RefusedOtherEntry means that the sidecar already has a run of the task for
	// another entry.
	RefusedOtherEntry Refusal = "taken"
)

// StartReply has one refusal for each task of the request, in the same order,
// and the state of the sidecar after the request.
type StartReply struct {
	Refusals []Refusal
	// Queued are the accepted tasks that wait in the sidecar's queue after the request.
	// It is empty from builds without it.
	Queued []work.TaskKey
	State  State
}

// StopRequest asks a sidecar to stop all runs of a job.
type StopRequest struct {
	Echo Stamp
	Job  work.JobID
	// UpTo is the number of the newest StartRequest that was sent before. Any up to it that
	// arrives later starts nothing of the job.
	UpTo uint64
}

// StopReply confirms that the runs are being stopped; their ends follow as
// events.
type StopReply struct{}
