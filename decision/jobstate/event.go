package jobstate

import (
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// Event is something that happened to a job. Its implementations are the event
// types of this package.
type Event interface{ event() }

// Claimed means that the job's claim is known to be written.
type Claimed struct{}

// ClaimFailed means that the job's claim could not be written. The job ends
// with Refusal's code; none of its tasks was dispatched.
type ClaimFailed struct{ Refusal *model.Refusal }

// Dispatched means that a task is about to be sent. It is applied before the
// message is sent, with the attempt number that Job.Attempt gave.
type Dispatched struct {
	Index   int
	Attempt int
	Sidecar model.Incarnation
}

// HandedBack means that it is proved that a dispatch did not start its task
// and never will.
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

// Unknown means that a dispatch ended without an answer and without proof.
type Unknown struct {
	Ref     model.TaskRef
	Attempt int
}

// Cancel means that the caller has given the job up.
type Cancel struct{}

// DeadlinePassed means that the job's timeout is over.
type DeadlinePassed struct{}

// Adopted means that the job was claimed by a former owner and that every
// reachable sidecar was asked for its records of it.
type Adopted struct {
	Tasks []AdoptedTask
	// AbsentNotStarted says that each task without a record is proved not to have
	// been started: every sidecar that could have one answered and has been
	// running, and has kept all its records, since before the claim.
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
