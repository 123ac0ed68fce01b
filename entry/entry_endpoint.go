package entry

import (
	"context"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// Endpoint implements the net/rpc service "Entry".
type Endpoint struct {
	entry *Entry
}

// Renew records a sidecar's state and grants it a permit. The number of the
// sidecar's message is recorded before the permit is computed, because the
// permit's lifetime counts from the time at which that message was sent.
func (e *Endpoint) Renew(request *wire.RenewRequest, reply *wire.RenewReply) error {
	core := e.entry.current()
	e.entry.metrics.Renewals.Inc(1)
	core.peers.record(request.Target.Incarnation, request.MessageNumber)
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

// Join returns the state of a job that this entry claimed or owns; with
// JoinRequest.Wait it waits until the job has ended.
func (e *Endpoint) Join(request *wire.JoinRequest, reply *wire.JobReply) error {
	core := e.entry.current()
	*reply = core.owner.Join(core.ctx, request)
	return nil
}

// Cancel cancels a job whose partition this entry owns.
func (e *Endpoint) Cancel(request *wire.CancelRequest, reply *wire.JobReply) error {
	core := e.entry.current()
	*reply = core.owner.Cancel(core.ctx, request.Key)
	return nil
}

// BundleChanged reads the bundle from the table without waiting for the next
// poll, and replies with the version in use after the read.
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

// Status returns a summary of this entry's state.
func (e *Endpoint) Status(_ *struct{}, reply *Status) error {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	*reply = e.entry.Status(ctx)
	return nil
}

// ownerHasMoved returns the refusal of a job whose partition this entry does not
// own. Its outcome is unknown, because the entry cannot tell whether an earlier
// submission of the key was run; the forwarder that gets it asks the new owner.
func ownerHasMoved() *model.Refusal {
	return &model.Refusal{
		Code:       model.CodeOwnerMoved,
		Outcome:    model.Unknown,
		Detail:     "another entry decides about this key now",
		RetryAfter: ownerRetryInterval,
	}
}
