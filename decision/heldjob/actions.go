package heldjob

import (
	"time"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// Action is an effect that Core asks its caller to carry out.
type Action interface{ action() }

// StartTasks asks a sidecar to run tasks of a job.
type StartTasks struct {
	Sidecar string
	Job     work.JobID
	Request session.StartRequest
}

// StopJob stops all runs of a job at a sidecar.
type StopJob struct {
	Sidecar string
	Job     work.JobID
	// UpTo is the number of the newest StartRequest to the sidecar.
	UpTo uint64
}

// Reply answers an open request of a caller.
type Reply struct {
	Waiter uint64
	Answer Answer
	// Route is the name of the job's route; empty if none is set.
	Route string
}

// CreateJob writes a new job, owned by this entry, to the job store.
type CreateJob struct {
	Job   work.Job
	Route manifest.Route
}

// AbandonCreate withdraws a CreateJob if its write was not sent yet. The result is
// passed to Core.CreateAbandoned.
type AbandonCreate struct{ Job work.JobID }

// SaveJob writes the progress of a stored job.
type SaveJob struct {
	Job work.JobID
	// Route is the name of the job's route.
	Route string
	// Memory is the memory in bytes that the job takes at the entry that runs it.
	Memory   int64
	Epoch    session.Epoch
	Progress Progress
}

// EndJob writes the outcome of a stored job.
type EndJob struct {
	Job     work.JobID
	Outcome Outcome
	Epoch   session.Epoch
}

// Progress is the persisted state of a stored job that has not ended.
type Progress struct {
	Done     []work.TaskKey
	Failures map[work.TaskKey]int
	// Crashes is the number of minions that have crashed under each task.
	Crashes map[work.TaskKey]int
	// Checkpoints are the newest known checkpoints of the tasks that are not done.
	Checkpoints map[work.TaskKey]work.Checkpoint
}

func (StartTasks) action()    {}
func (StopJob) action()       {}
func (Reply) action()         {}
func (CreateJob) action()     {}
func (AbandonCreate) action() {}
func (SaveJob) action()       {}
func (EndJob) action()        {}

// Submission is a caller's request to run a job.
type Submission struct {
	// Waiter identifies the open request; Reply.Waiter repeats it.
	Waiter uint64
	// Request is the caller's request ID, for the log. Several requests may submit
	// the same job.
	Request string
	Job     work.Job
	Host    string
	Path    string
	// CallerTimeout is how long the caller waits for the answer; 0 if unknown.
	CallerTimeout time.Duration
}
