package jobstate

import "github.com/figring/figring/model"

// Action is an operation that the owner of a job must perform. The action types
// of this package implement it.
type Action interface{ action() }

// Dispatch requests that tasks be queued for dispatch. Each of them is proved not
// to have been started.
type Dispatch struct{ Indexes []int }

// Attach requests waiting at the sidecars for tasks that a former owner
// dispatched. Each of them ends with a HandedBack, Done or Unknown event for its
// attempt.
type Attach struct{ Tasks []Placement }

// Withdraw requests that the job's queued tasks be dropped and that the listed
// dispatches be withdrawn, or stopped if they already run. The job has ended, so
// later events of these dispatches are ignored.
type Withdraw struct{ Tasks []Placement }

// Finish carries the terminal answer of the job. There is one per job.
type Finish struct{ Answer model.Answer }

// Placement identifies a dispatch in progress and the sidecar that has it.
type Placement struct {
	Index   int
	Attempt int
	Sidecar model.Incarnation
}

func (Dispatch) action() {}
func (Attach) action()   {}
func (Withdraw) action() {}
func (Finish) action()   {}
