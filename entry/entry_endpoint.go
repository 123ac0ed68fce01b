package entry

import (
	"context"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// Endpoint serves the Entry methods of net/rpc.
type Endpoint struct {
	entry *Entry
}

// Renew grants a sidecar a permit and takes in its state. The message is noted
// before the permit is computed, because the permit's age counts from it.
func (e *Endpoint) Renew(request *wire.RenewRequest, reply *wire.RenewReply) error {
	core := e.entry.current()
	e.entry.metrics.Renewals.Inc(1)
	core.peers.heard(request.Target.Incarnation, request.MessageNumber)
	reply.Entry = core.self.Incarnation
	reply.Permit = core.Permit(&request.Target)
	entries, version := core.members.Entries()
	reply.EntriesVersion = version
	if version != request.EntriesVersion {
		reply.Entries = entries
	}
	core.owner.postRenewal(request)
	return nil
}

// Submit runs a job whose partition this entry owns.
func (e *Endpoint) Submit(request *wire.SubmitRequest, reply *wire.JobReply) error {
	core := e.entry.current()
	if request.Owner != core.self.Incarnation {
		*reply = refused(ownerHasMoved())
		return nil
	}
	ctx, cancel := context.WithTimeout(core.ctx, request.Spec.Timeout+callTimeoutMargin)
	defer cancel()
	*reply = core.owner.Submit(ctx, request.Spec)
	return nil
}

// Join waits for the answer of a job that this entry claimed or owns.
func (e *Endpoint) Join(request *wire.JoinRequest, reply *wire.JobReply) error {
	core := e.entry.current()
	*reply = core.owner.Join(core.ctx, request)
	return nil
}

// Cancel ends a job whose partition this entry owns.
func (e *Endpoint) Cancel(request *wire.CancelRequest, reply *wire.JobReply) error {
	core := e.entry.current()
	*reply = core.owner.Cancel(core.ctx, request.Key)
	return nil
}

// BundleChanged reads the bundle at once.
func (e *Endpoint) BundleChanged(_ *wire.BundleChangedRequest, reply *wire.BundleChangedReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	version, err := e.entry.bundles.ReadNow(ctx)
	if err != nil {
		version = e.entry.bundles.View().Bundle.Version
	}
	reply.Version = version
	return nil
}

// Status sums up this entry.
func (e *Endpoint) Status(_ *struct{}, reply *Status) error {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	*reply = e.entry.Status(ctx)
	return nil
}

// ownerHasMoved refuses a job whose partition this entry does not own. It says
// nothing about earlier submissions; the front asks the right owner.
func ownerHasMoved() *model.Refusal {
	return &model.Refusal{
		Code:       model.CodeOwnerMoved,
		Outcome:    model.Unknown,
		Detail:     "another entry decides about this key now",
		RetryAfter: ownerRetry,
	}
}
