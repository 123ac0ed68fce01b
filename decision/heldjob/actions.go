package heldjob

import (
	"time"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// Action is something that the core asks for.
type Action interface{ action() }

// StartTasks sends tasks of a job to a sidecar.
type StartTasks struct {
	Sidecar string
	Job     work.JobID
	Request session.StartRequest
}

// StopJob ends what a sidecar has of a job.
type StopJob struct {
	Sidecar string
	Job     work.JobID
}

// Reply answers a waiting submission.
type Reply struct {
	Waiter uint64
	Answer Answer
	// Route is the name of the job's route; empty when there is none.
	Route string
}

// CreateJob stores a new job, owned by this entry.
type CreateJob struct {
	Job   work.Job
	Route manifest.Route
}

// AbandonCreate takes a CreateJob back, if it was not sent.
type AbandonCreate struct{ Job work.JobID }

// SaveJob stores how far a job has come.
type SaveJob struct {
	Job work.JobID
	// Route is the name of the job's route.
	Route    string
	Progress Progress
}

// EndJob stores how a job has ended.
type EndJob struct {
	Job     work.JobID
	Outcome Outcome
}

// Progress is how far a stored job has come.
type Progress struct {
	Done     []work.TaskKey
	Failures map[work.TaskKey]int
	// Checkpoints are those of the tasks that are not done, as far as known.
	Checkpoints map[work.TaskKey]work.Checkpoint
}

func (StartTasks) action()    {}
func (StopJob) action()       {}
func (Reply) action()         {}
func (CreateJob) action()     {}
func (AbandonCreate) action() {}
func (SaveJob) action()       {}
func (EndJob) action()        {}

// Submission is a job that a caller has handed in.
type Submission struct {
	// Waiter names the open request that is to be answered.
	Waiter uint64
	// Request is the identity of this request beside its job's, for the log.
	Request string
	Job     work.Job
	Host    string
	Path    string
	// CallerTimeout is how long the caller waits for the answer; 0 when unknown.
	CallerTimeout time.Duration
}
