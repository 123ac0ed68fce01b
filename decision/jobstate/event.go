package jobstate

import (
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// Event is an input of the state machine of a job. The event types of this package
// implement it.
type Event interface{ event() }

// Claimed means that the write of the job's claim is confirmed.
type Claimed struct{}

// ClaimFailed means that the job's claim could not be written. The job fails with
// the code of Refusal, and none of its tasks was dispatched.
type ClaimFailed struct{ Refusal *model.Refusal }

// Dispatched means that a task is about to be sent. It must be applied before the
// message is sent, with the attempt number that Job.Attempt returned.
type Dispatched struct {
	Index   int
	Attempt int
	Sidecar model.Incarnation
}

// HandedBack means that a dispatch is proved not to have started its task, and that
// it never will.
type HandedBack struct {
	Ref     model.TaskRef
	Attempt int
	Reason  wire.NotStartedReason
}

// Done means that a dispatch ended with a result.
type Done struct {
	Ref     model.TaskRef
	Attempt int
	Result  model.TaskResult
}

// Unknown means that a dispatch ended without a result and without a proof that its
// task was not started.
type Unknown struct {
	Ref     model.TaskRef
	Attempt int
}

// Cancel means that the caller cancelled the job.
type Cancel struct{}

// DeadlinePassed means that Job.Deadline has passed.
type DeadlinePassed struct{}

// Adopted means that a former owner claimed the job and that every reachable
// sidecar was asked for its records of the job.
type Adopted struct {
	Tasks []AdoptedTask
	// AbsentNotStarted is set if each task without a record is proved not to have
	// been started: every sidecar that could have a record answered, has been
	// running since before the claim, and has kept all its records since then.
	AbsentNotStarted bool
}

// AdoptedTask is a sidecar's record of a task of an adopted job.
type AdoptedTask struct {
	Sidecar model.Incarnation
	Record  wire.TaskRecord
}

func (Claimed) event()        {}
func (ClaimFailed) event()    {}
func (Dispatched) event()     {}
func (HandedBack) event()     {}
func (Done) event()           {}
func (Unknown) event()        {}
func (Cancel) event()         {}
func (DeadlinePassed) event() {}
func (Adopted) event()        {}
