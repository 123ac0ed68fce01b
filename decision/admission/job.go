package admission

import (
	"time"

	"github.com/figring/figring/model"
)

// job is an admitted job.
type job struct {
	key      model.JobKey
	caller   *caller
	admitted time.Time
	// waiting counts the tasks not yet given out, ready or not.
	waiting int
	// inProgress counts the tasks that have not ended.
	inProgress int
	// ready holds the indexes that may be given out, the next one last.
	ready []int
	// held keeps the ready indexes of a suspended job.
	held []int
	// heapIndex is the job's place among its caller's jobs; -1 if it has no
	// task that may be given out.
	heapIndex int
}

// place orders the jobs of one caller; see the package comment. It falls with
// each task given out, so a job that is first stays first among those present.
func (j *job) place() int64 {
	return j.admitted.UnixNano() + int64(j.waiting)*int64(delayPerTask)
}
