package jobstore

import (
	"encoding/json"
	"time"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// AcceptedJob is the value of a spec row: the job at the time of its acceptance.
type AcceptedJob struct {
	Job work.Job `json:"job"`
	// Route is the route that accepted the job, as configured at that time.
	Route manifest.Route `json:"route"`
	// Accepted is the wall clock time of the acceptance.
	Accepted time.Time `json:"accepted"`
}

// Owner identifies one incarnation of the entry that runs a job.
type Owner struct {
	// Name is the name of the entry.
	Name string `json:"name"`
	// Boot differs between the incarnations of an entry.
	Boot string `json:"boot"`
}

// Progress is the value of an open row: the owner and progress of an open job.
type Progress struct {
	Owner Owner `json:"owner"`
	// Route is the name of the job's route.
	Route string `json:"route"`
	// Write is the sequence number of the owner's write, so that the owner can
	// recognise its own writes.
	Write uint64 `json:"write"`
	// Memory is the memory in bytes that the job takes at the entry that runs it; 0 if an
	// earlier build has written the row.
	Memory int64 `json:"memory,omitempty"`
	// Epoch is the epoch of the job; session.UnknownEpoch if an earlier build has written the
	// row.
	Epoch session.Epoch `json:"epoch,omitempty"`
	// Parts is the number of rows into which the job as accepted is split; 0 for none.
	Parts int `json:"parts,omitempty"`
	// Done is the set of finished tasks.
	Done     TaskSet    `json:"done,omitempty"`
	Failures TaskCounts `json:"failed,omitempty"`
	// Crashes counts the minions that have crashed under each task.
	Crashes TaskCounts `json:"crashed,omitempty"`
	// Checkpoints are the checkpoints of unfinished tasks, as many as fit into
	// the row.
	Checkpoints []TaskCheckpoint `json:"checkpoints,omitempty"`
}

// Begun reports whether any task of the job has finished, failed or crashed its
// minion.
func (p *Progress) Begun() bool { return len(p.Done) > 0 || len(p.Failures) > 0 || len(p.Crashes) > 0 }

// Includes reports whether the progress covers the end of a run of the task: the task is
// done, or this failed attempt is counted. An attempt of 0 is not known.
func (p *Progress) Includes(task work.TaskKey, end work.End, attempt int) bool {
	counted := end == work.EndFailed && attempt > 0 && p.Failures.Count(task.Step, task.Index) >= attempt
	return counted || p.Done.Has(task.Step, task.Index)
}

// AddEnd adds the end of a run of the task. A failed attempt that is counted already is
// not counted again; one of attempt 0, which is not known, always is.
func (p *Progress) AddEnd(task work.TaskKey, end work.End, attempt int) {
	switch {
	case end == work.EndDone:
		p.Done.Add(task.Step, task.Index)
	case attempt == 0:
		p.Failures.Set(task.Step, task.Index, p.Failures.Count(task.Step, task.Index)+1)
	default:
		p.Failures.Set(task.Step, task.Index, attempt)
	}
}

// Outcome says how a job ended.
type Outcome string

// The outcomes of a job.
const (
	Completed Outcome = "completed"
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
)

// JobEnd is the value of a done row.
type JobEnd struct {
	Outcome Outcome `json:"outcome"`
	// By is the owner that wrote the row. It may be another one than the job's:
	// any entry can cancel a job.
	By Owner `json:"by"`
	// At is the wall clock time of the end.
	At time.Time `json:"at"`
	// Epoch is the epoch in which the job ended, as in Progress.
	Epoch session.Epoch `json:"epoch,omitempty"`
	// Owner is the job's owner where another entry has written the row: it has to be
	// told of the end.
	Owner *Owner `json:"owner,omitempty"`
}

// encode returns the JSON value of a row. It panics on an error, because the row
// types of this package can always be encoded.
func encode(value any) []byte {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return raw
}
