package entry

import (
	"time"

	"github.com/figring/figring/claims"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// event is an input of the owner's event loop.
type event interface{ ownerEvent() }

// submitEvent submits a job or request. A keyless request needs no claim, because
// the caller can't resubmit it.
type submitEvent struct {
	spec     model.JobSpec
	digest   uint64
	keyless  bool
	received time.Time
	answer   chan<- wire.JobReply
}

// joinEvent asks for the answer of a job that was submitted before.
type joinEvent struct {
	request wire.JoinRequest
	answer  chan<- wire.JobReply
}

// cancelEvent cancels a job.
type cancelEvent struct {
	key    model.JobKey
	answer chan<- wire.JobReply
}

// claimResultEvent reports the outcome of the write of a claim. If that outcome is
// unknown, a second event follows once it is known.
type claimResultEvent struct {
	key model.JobKey
	err error
}

// dispatchResultEvent reports the result of a dispatch.
type dispatchResultEvent struct{ result dispatchResult }

// renewalEvent carries the state and load that a sidecar reported.
type renewalEvent struct {
	target wire.Target
	load   wire.Load
	wanted bool
}

// adoptionResultEvent reports the result of looking up a job of a former owner.
type adoptionResultEvent struct{ result adoptionResult }

// adoptionRetryEvent retries the lookup of an adopted job.
type adoptionRetryEvent struct{ key model.JobKey }

// acquireEvent assigns a partition to this entry, with the claims stored in it.
type acquireEvent struct {
	partition int
	claims    []claims.Stored
	done      chan<- struct{}
}

// releaseEvent ends this entry's ownership of a partition.
type releaseEvent struct {
	partition int
	done      chan<- struct{}
}

// fencedEvent means that this incarnation's session was taken over.
type fencedEvent struct{}

// bundleChangedEvent carries a newly read bundle.
type bundleChangedEvent struct{ bundle model.Bundle }

// statusEvent requests the status of the owner.
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
