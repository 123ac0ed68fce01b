package jobstate

import "github.com/figring/figring/model"

// Action is something that the owner of a job has to do. Its implementations
// are the action types of this package.
type Action interface{ action() }

// Dispatch asks for tasks to be queued for dispatch. Each is proved not to
// have been started.
type Dispatch struct{ Indexes []int }

// Attach asks to wait at the sidecars for tasks that a former owner sent
// there. Each ends with HandedBack, Done or Unknown for its attempt.
type Attach struct{ Tasks []Placement }

// Withdraw asks for the job's queued tasks to be dropped and for the listed
// dispatches to be withdrawn, and stopped where they run. The job is finished:
// what comes of it is ignored.
type Withdraw struct{ Tasks []Placement }

// Finish carries the job's only terminal answer.
type Finish struct{ Answer model.Answer }

// Placement names a dispatch in progress.
type Placement struct {
	Index   int
	Attempt int
	Sidecar model.Incarnation
}

func (Dispatch) action() {}
func (Attach) action()   {}
func (Withdraw) action() {}
func (Finish) action()   {}
