package entry

import (
	"context"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

const (
	// ownerWaitTimeout bounds the wait for a partition to get a new owner: the
	// rest of the old owner's lease, the takeover, and the loading of its claims.
	ownerWaitTimeout = model.SessionTTL + model.ClockMargin + 4*time.Second
	// ownerPollInterval is the interval at which a wait for a new owner checks
	// the partition assignment.
	ownerPollInterval = 20 * time.Millisecond
	// ownerRetryInterval is the delay before the same owner is called again.
	ownerRetryInterval = 250 * time.Millisecond
	// ownerUnreachableRetryAfter is the RetryAfter of the refusal sent when no
	// owner of the partition can be reached.
	ownerUnreachableRetryAfter = 2 * time.Second
)

// rpcCaller calls methods of other processes. wire.Pool implements it.
type rpcCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
	Disconnect(address string)
}

// ownerCall calls one owner. An error means that no reply arrived.
type ownerCall func(local *core, ownerEntry wire.EntryInfo) (wire.JobReply, error)

// Forwarder sends each job to the owner of its partition. When an owner is lost
// it resubmits the job to the next one: the key makes that safe.
type Forwarder struct {
	// current returns the entry's current incarnation, which is replaced when
	// its session is taken over.
	current func() *core
	pool    rpcCaller
	metrics *Metrics
}

// Submit runs a job at its owner and returns the job's answer, or a refusal.
func (f *Forwarder) Submit(ctx context.Context, spec model.JobSpec) wire.JobReply {
	return f.callOwner(ctx, spec.Key, func(local *core, ownerEntry wire.EntryInfo) (wire.JobReply, error) {
		if ownerEntry.Incarnation == local.self.Incarnation {
			return local.owner.Submit(ctx, spec), nil
		}
		f.metrics.Forwarded.Inc(1)
		request := &wire.SubmitRequest{From: local.self.Incarnation, Owner: ownerEntry.Incarnation, Spec: spec}
		return f.callRemote(ctx, local, ownerEntry, wire.MethodSubmit, request)
	})
}

// Request runs a request without a key at this entry: it cannot be resubmitted,
// so no owner has to decide whether it is a duplicate.
func (f *Forwarder) Request(ctx context.Context, spec model.JobSpec) wire.JobReply {
	return f.current().owner.Request(ctx, spec)
}

// Join returns the state of a job; with wait it waits until the job has ended.
func (f *Forwarder) Join(ctx context.Context, key model.JobKey, wait bool) wire.JobReply {
	return f.callOwner(ctx, key, func(local *core, ownerEntry wire.EntryInfo) (wire.JobReply, error) {
		request := &wire.JoinRequest{From: local.self.Incarnation, Key: key, Wait: wait}
		if ownerEntry.Incarnation == local.self.Incarnation {
			return local.owner.Join(ctx, request), nil
		}
		return f.callRemote(ctx, local, ownerEntry, wire.MethodJoin, request)
	})
}

// Cancel cancels a job at its owner.
func (f *Forwarder) Cancel(ctx context.Context, key model.JobKey) wire.JobReply {
	return f.callOwner(ctx, key, func(local *core, ownerEntry wire.EntryInfo) (wire.JobReply, error) {
		if ownerEntry.Incarnation == local.self.Incarnation {
			return local.owner.Cancel(ctx, key), nil
		}
		request := &wire.CancelRequest{From: local.self.Incarnation, Key: key}
		return f.callRemote(ctx, local, ownerEntry, wire.MethodCancel, request)
	})
}

// callRemote calls an owner in another process. The call is cancelled when that
// owner's session ends, because a frozen owner keeps its connections open and
// would block the call.
func (f *Forwarder) callRemote(ctx context.Context, local *core, ownerEntry wire.EntryInfo, method string, args any) (wire.JobReply, error) {
	ctx, release := local.sessions.bind(ctx, ownerEntry.Incarnation)
	defer release()
	var reply wire.JobReply
	err := f.pool.Call(ctx, ownerEntry.Address, method, args, &reply)
	return reply, err
}

// callOwner calls the owner of the key's partition, and its successor when the
// owner is lost or has handed the partition over. ownerWaitTimeout counts from
// the loss of the owner and not from the start of the call, because the owner
// may have been running the job for a long time.
func (f *Forwarder) callOwner(ctx context.Context, key model.JobKey, call ownerCall) wire.JobReply {
	deadline := time.Now().Add(ownerWaitTimeout)
	var lost model.Incarnation
	for {
		local := f.current()
		ownerEntry, known := local.members.Owner(key.Partition())
		if known {
			reply, err := call(local, ownerEntry)
			if err == nil && !isOwnerMoved(reply) {
				return reply
			}
			f.metrics.OwnerLost.Inc(1)
			if ownerEntry.Incarnation != lost {
				lost = ownerEntry.Incarnation
				deadline = time.Now().Add(ownerWaitTimeout)
			}
			local.members.Refresh()
		}
		if time.Now().After(deadline) {
			return refused(ownerUnreachable())
		}
		f.awaitOwner(ctx, key.Partition(), ownerEntry.Incarnation)
		if ctx.Err() != nil {
			return refused(waitEnded())
		}
	}
}

// awaitOwner waits until the partition has an owner other than avoid, for at
// most ownerRetryInterval. The same owner is then called again, because it may
// have lost only a connection.
func (f *Forwarder) awaitOwner(ctx context.Context, partition int, avoid model.Incarnation) {
	ctx, cancel := context.WithTimeout(ctx, ownerRetryInterval)
	defer cancel()
	for {
		ownerEntry, known := f.current().members.Owner(partition)
		if known && ownerEntry.Incarnation != avoid {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(ownerPollInterval):
		}
	}
}

func isOwnerMoved(reply wire.JobReply) bool {
	return reply.Refusal != nil && reply.Refusal.Code == model.CodeOwnerMoved
}

func refused(refusal *model.Refusal) wire.JobReply {
	return wire.JobReply{Refusal: refusal}
}

// ownerUnreachable returns the refusal for a job whose owner was not found in
// time. Its outcome is unknown, because an earlier submission of the key may
// have run.
func ownerUnreachable() *model.Refusal {
	return &model.Refusal{
		Code:       model.CodeOwnerUnreachable,
		Outcome:    model.Unknown,
		Detail:     "the entry that decides about this key can't be reached; resubmit with the same key",
		RetryAfter: ownerUnreachableRetryAfter,
	}
}

// waitEnded returns the refusal for a wait that ended with the context of the
// caller's request.
func waitEnded() *model.Refusal {
	return &model.Refusal{
		Code:       model.CodeDeadline,
		Outcome:    model.Unknown,
		Detail:     "the wait ended before the answer; resubmit with the same key to get it",
		RetryAfter: time.Second,
	}
}
