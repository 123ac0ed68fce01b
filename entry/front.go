package entry

import (
	"context"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

const (
	// handoverPatience bounds how long a front waits for a partition to get a
	// new owner: the old one's lease, the takeover, and the load of its claims.
	handoverPatience = model.SessionTTL + model.ClockMargin + 4*time.Second
	// handoverPoll is the interval between two looks at the assignment.
	handoverPoll = 20 * time.Millisecond
	// ownerRetry is the wait before the same owner is tried again.
	ownerRetry = 250 * time.Millisecond
	// retryOwnerAfter is told to callers whose partition has no owner now.
	retryOwnerAfter = 2 * time.Second
)

// rpcCaller calls a method at another process; wire.Pool is one.
type rpcCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
	Disconnect(address string)
}

// ownerTry asks one owner. An error means that no answer came.
type ownerTry func(own *core, to wire.EntryInfo) (wire.JobReply, error)

// Front hands jobs to the owners of their partitions. When an owner is lost
// the front resubmits to the next one: the key makes that safe.
type Front struct {
	// current returns the entry's present incarnation; it is replaced when its
	// session was taken over.
	current func() *core
	pool    rpcCaller
	metrics *Metrics
}

// Submit returns the job's answer, or a refusal.
func (f *Front) Submit(ctx context.Context, spec model.JobSpec) wire.JobReply {
	return f.toOwner(ctx, spec.Key, func(own *core, to wire.EntryInfo) (wire.JobReply, error) {
		if to.Incarnation == own.self.Incarnation {
			return own.owner.Submit(ctx, spec), nil
		}
		f.metrics.Forwarded.Inc(1)
		request := &wire.SubmitRequest{From: own.self.Incarnation, Owner: to.Incarnation, Spec: spec}
		return f.call(ctx, own, to, wire.MethodSubmit, request)
	})
}

// Request runs a request without a key at this entry itself: nobody can ask for
// it again, so no owner has to decide whether it is new.
func (f *Front) Request(ctx context.Context, spec model.JobSpec) wire.JobReply {
	return f.current().owner.Request(ctx, spec)
}

// Join returns the state of a job; with wait it holds until the job has ended.
func (f *Front) Join(ctx context.Context, key model.JobKey, wait bool) wire.JobReply {
	return f.toOwner(ctx, key, func(own *core, to wire.EntryInfo) (wire.JobReply, error) {
		request := &wire.JoinRequest{From: own.self.Incarnation, Key: key, Wait: wait}
		if to.Incarnation == own.self.Incarnation {
			return own.owner.Join(ctx, request), nil
		}
		return f.call(ctx, own, to, wire.MethodJoin, request)
	})
}

// Cancel cancels a job at its owner.
func (f *Front) Cancel(ctx context.Context, key model.JobKey) wire.JobReply {
	return f.toOwner(ctx, key, func(own *core, to wire.EntryInfo) (wire.JobReply, error) {
		if to.Incarnation == own.self.Incarnation {
			return own.owner.Cancel(ctx, key), nil
		}
		request := &wire.CancelRequest{From: own.self.Incarnation, Key: key}
		return f.call(ctx, own, to, wire.MethodCancel, request)
	})
}

// call calls the owner for as long as its session lives. A frozen owner keeps
// its connections open; its lost session is what ends the wait.
func (f *Front) call(ctx context.Context, own *core, to wire.EntryInfo, method string, args any) (wire.JobReply, error) {
	ctx, release := own.sessions.bind(ctx, to.Incarnation)
	defer release()
	var reply wire.JobReply
	err := f.pool.Call(ctx, to.Address, method, args, &reply)
	return reply, err
}

// toOwner tries the owner of the key's partition, and its successor when the
// owner is lost or has handed the partition over. The wait for a successor is
// counted from the loss: the owner may have had the job for long.
func (f *Front) toOwner(ctx context.Context, key model.JobKey, try ownerTry) wire.JobReply {
	deadline := time.Now().Add(handoverPatience)
	var lost model.Incarnation
	for {
		own := f.current()
		to, known := own.members.Owner(key.Partition())
		if known {
			reply, err := try(own, to)
			if err == nil && !ownerMoved(reply) {
				return reply
			}
			f.metrics.OwnerLost.Inc(1)
			if to.Incarnation != lost {
				lost = to.Incarnation
				deadline = time.Now().Add(handoverPatience)
			}
			own.members.Refresh()
		}
		if time.Now().After(deadline) {
			return refused(ownerUnreachable())
		}
		f.awaitOwner(ctx, key.Partition(), to.Incarnation)
		if ctx.Err() != nil {
			return refused(gaveUp())
		}
	}
}

// awaitOwner waits until the partition has another owner than avoid, or for
// ownerRetry: the same owner may have lost no more than a connection.
func (f *Front) awaitOwner(ctx context.Context, partition int, avoid model.Incarnation) {
	ctx, cancel := context.WithTimeout(ctx, ownerRetry)
	defer cancel()
	for {
		to, known := f.current().members.Owner(partition)
		if known && to.Incarnation != avoid {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(handoverPoll):
		}
	}
}

func ownerMoved(reply wire.JobReply) bool {
	return reply.Refusal != nil && reply.Refusal.Code == model.CodeOwnerMoved
}

func refused(refusal *model.Refusal) wire.JobReply {
	return wire.JobReply{Refusal: refusal}
}

// ownerUnreachable is the refusal of a front that found no owner. An earlier
// submission of the key may have run, so it says nothing about that.
func ownerUnreachable() *model.Refusal {
	return &model.Refusal{
		Code:       model.CodeOwnerUnreachable,
		Outcome:    model.Unknown,
		Detail:     "the entry that decides about this key can't be reached; resubmit with the same key",
		RetryAfter: retryOwnerAfter,
	}
}

// gaveUp is the refusal for a wait that the caller's side ended.
func gaveUp() *model.Refusal {
	return &model.Refusal{
		Code:       model.CodeDeadline,
		Outcome:    model.Unknown,
		Detail:     "the wait ended before the answer; resubmit with the same key to get it",
		RetryAfter: time.Second,
	}
}
