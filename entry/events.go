package entry

import (
	"time"

	"github.com/figring/figring/claims"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// event is something that the owner's loop takes in. Each type is one kind.
type event interface{ ownerEvent() }

// submitted asks for a job's answer. Local requests without a key skip the
// claim: nobody can submit them again.
type submitEvent struct {
	spec     model.JobSpec
	digest   uint64
	keyless  bool
	received time.Time
	answer   chan<- wire.JobReply
}

// joined asks for the answer of a job that this entry has or adopts.
type joinEvent struct {
	request wire.JoinRequest
	answer  chan<- wire.JobReply
}

// cancelled asks for the end of a job.
type cancelEvent struct {
	key    model.JobKey
	answer chan<- wire.JobReply
}

// claimEnded reports the outcome of a claim, or of a claim whose outcome was
// unknown before.
type claimResultEvent struct {
	key model.JobKey
	err error
}

// taskEnded reports the end of a dispatch.
type dispatchResultEvent struct{ result dispatchResult }

// renewed reports a sidecar's state.
type renewalEvent struct {
	target wire.Target
	load   wire.Load
	wanted bool
}

// adopted reports what the sidecars know of a job of a former owner.
type adoptionResultEvent struct{ result adoptionResult }

// lookedAgain is due when the question what became of an adopted job is to be
// asked again.
type adoptionRetryEvent struct{ key model.JobKey }

// acquired hands a partition over together with the claims in it.
type acquireEvent struct {
	partition int
	claims    []claims.Stored
	done      chan<- struct{}
}

// released takes a partition away.
type releaseEvent struct {
	partition int
	done      chan<- struct{}
}

// fenced means that this incarnation's session was taken over.
type fencedEvent struct{}

// bundleChanged carries a newly read bundle.
type bundleChangedEvent struct{ bundle model.Bundle }

// inspected asks for a summary of the loop's state.
type statusEvent struct{ answer chan<- OwnerStatus }

func (submitEvent) ownerEvent()         {}
func (joinEvent) ownerEvent()           {}
func (cancelEvent) ownerEvent()         {}
func (claimResultEvent) ownerEvent()    {}
func (dispatchResultEvent) ownerEvent() {}
func (renewalEvent) ownerEvent()        {}
func (adoptionResultEvent) ownerEvent() {}
func (adoptionRetryEvent) ownerEvent()  {}
func (acquireEvent) ownerEvent()        {}
func (releaseEvent) ownerEvent()        {}
func (fencedEvent) ownerEvent()         {}
func (bundleChangedEvent) ownerEvent()  {}
func (statusEvent) ownerEvent()         {}
