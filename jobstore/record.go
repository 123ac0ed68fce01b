package jobstore

import (
	"encoding/json"
	"time"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/work"
)

// AcceptedJob is a job as it was accepted.
type AcceptedJob struct {
	Job work.Job `json:"job"`
	// Route is the route that took the job, as it was then.
	Route manifest.Route `json:"route"`
	// Accepted is the time of day of the acceptance.
	Accepted time.Time `json:"accepted"`
}

// Owner is one life of the entry that runs a job.
type Owner struct {
	Name string `json:"name"`
	Boot string `json:"boot"`
}

// Progress is how far an open job has come.
type Progress struct {
	Owner Owner `json:"owner"`
	// Route is the name of the job's route.
	Route string `json:"route"`
	// Write numbers the owner's writes, so that it knows its own again.
	Write    uint64   `json:"write"`
	Done     TaskSet  `json:"done,omitempty"`
	Failures Failures `json:"failed,omitempty"`
	// Checkpoints are those of tasks that are not done, as many as there is room
	// for.
	Checkpoints []TaskCheckpoint `json:"checkpoints,omitempty"`
}

// Begun reports whether a task has ended since the acceptance.
func (p *Progress) Begun() bool { return len(p.Done) > 0 || len(p.Failures) > 0 }

// Outcome is how a job ended.
type Outcome string

// The outcomes of a job.
const (
	Completed Outcome = "completed"
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
)

// JobEnd is the end of a job.
type JobEnd struct {
	Outcome Outcome `json:"outcome"`
	// By is who wrote it.
	By Owner `json:"by"`
	// At is the time of day of the end.
	At time.Time `json:"at"`
}

// encode returns the value of a row. The types of this package always encode.
func encode(value any) []byte {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return raw
}
