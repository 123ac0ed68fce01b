package admission

import (
	"time"

	"github.com/figring/figring/model"
)

// job is an admitted job.
type job struct {
	key        model.JobKey
	caller     *caller
	admittedAt time.Time
	// waiting counts the tasks not yet dequeued, ready or not.
	waiting int
	// inProgress counts the tasks that have not ended.
	inProgress int
	// ready is a stack of the indexes of the tasks that may be dequeued: the last
	// one is next.
	ready []int
	// suspendedReady keeps the ready indexes while the job is suspended.
	suspendedReady []int
	// heapIndex is the job's index in caller.jobs; -1 if the job has no task that
	// may be dequeued.
	heapIndex int
}

// orderKey orders the jobs of one caller, lowest first; see the package comment.
// It decreases with each dequeued task, so the first job stays ahead of all jobs
// that are queued at that time.
func (j *job) orderKey() int64 {
	return j.admittedAt.UnixNano() + int64(j.waiting)*int64(delayPerTask)
}
