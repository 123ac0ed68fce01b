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
type submitted struct {
	spec     model.JobSpec
	digest   uint64
	keyless  bool
	received time.Time
	answer   chan<- wire.JobReply
}

// joined asks for the answer of a job that this entry has or adopts.
type joined struct {
	request wire.JoinRequest
	answer  chan<- wire.JobReply
}

// cancelled asks for the end of a job.
type cancelled struct {
	key    model.JobKey
	answer chan<- wire.JobReply
}

// claimEnded reports the outcome of a claim, or of a claim whose outcome was
// unknown before.
type claimEnded struct {
	key model.JobKey
	err error
}

// taskEnded reports the end of a dispatch.
type taskEnded struct{ end dispatchEnd }

// renewed reports a sidecar's state.
type renewed struct {
	target wire.Target
	load   wire.Load
	wanted bool
}

// adopted reports what the sidecars know of a job of a former owner.
type adopted struct{ result adoptionResult }

// lookedAgain is due when the question what became of an adopted job is to be
// asked again.
type lookedAgain struct{ key model.JobKey }

// acquired hands a partition over together with the claims in it.
type acquired struct {
	partition int
	claims    []claims.Stored
	done      chan<- struct{}
}

// released takes a partition away.
type released struct {
	partition int
	done      chan<- struct{}
}

// fenced means that this incarnation's session was taken over.
type fenced struct{}

// bundleChanged carries a newly read bundle.
type bundleChanged struct{ bundle model.Bundle }

// inspected asks for a summary of the loop's state.
type inspected struct{ answer chan<- OwnerStatus }

func (submitted) ownerEvent()     {}
func (joined) ownerEvent()        {}
func (cancelled) ownerEvent()     {}
func (claimEnded) ownerEvent()    {}
func (taskEnded) ownerEvent()     {}
func (renewed) ownerEvent()       {}
func (adopted) ownerEvent()       {}
func (lookedAgain) ownerEvent()   {}
func (acquired) ownerEvent()      {}
func (released) ownerEvent()      {}
func (fenced) ownerEvent()        {}
func (bundleChanged) ownerEvent() {}
func (inspected) ownerEvent()     {}
