package entry

import (
	"context"
	"errors"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

const (
	// callSlack is added to a task's timeout before its open call is given up.
	callSlack = 5 * time.Second
	// lookupTimeout bounds the question what became of a task whose connection
	// was lost.
	lookupTimeout = 2 * time.Second
)

// dispatchOrder tells the dispatcher to send one task.
type dispatchOrder struct {
	target     wire.Target
	ref        model.TaskRef
	attempt    int
	class      string
	payload    []byte
	timeout    time.Duration
	maxQueue   time.Duration
	repeatable bool
	// attach waits for a task that the sidecar has had from a former owner.
	attach bool
}

// dispatchEnd reports how one order ended.
type dispatchEnd struct {
	order dispatchOrder
	reply wire.RunReply
	// lost is set when the reply is RunUnknown because of the connection.
	lost bool
	// elapsed is the time from the send to the end.
	elapsed time.Duration
}

// dispatcher keeps one open call for each dispatched task and reports its end.
type dispatcher struct {
	self    model.Incarnation
	pool    rpcCaller
	peers   *messageTracker
	permits permitSource
	metrics *Metrics
	// report hands an end to the owner's loop.
	report func(dispatchEnd)
}

// send carries an order out; it runs in a goroutine of its own.
func (d *dispatcher) send(ctx context.Context, order dispatchOrder) {
	ctx, cancel := context.WithTimeout(ctx, order.timeout+callSlack)
	defer cancel()
	started := time.Now()
	end := dispatchEnd{order: order}
	if order.attach {
		end.reply, end.lost = d.attach(ctx, order)
	} else {
		end.reply, end.lost = d.run(ctx, order)
	}
	end.elapsed = time.Since(started)
	d.report(end)
}

// run sends the task. The permit is computed at the last step before the send,
// so that an entry that lost its lease meanwhile sends nothing.
func (d *dispatcher) run(ctx context.Context, order dispatchOrder) (wire.RunReply, bool) {
	permit := d.permits.Permit(&order.target)
	if permit.TTL <= 0 {
		return wire.RunReply{Status: wire.RunNotStarted, Reason: wire.ReasonNoPermit}, false
	}
	request := &wire.RunRequest{
		Entry:      d.self,
		Sidecar:    order.target.Incarnation,
		Permit:     permit,
		Ref:        order.ref,
		Class:      order.class,
		Payload:    order.payload,
		Timeout:    order.timeout,
		MaxQueue:   order.maxQueue,
		Repeatable: order.repeatable,
	}
	var reply wire.RunReply
	err := d.pool.Call(ctx, order.target.Address, wire.MethodRun, request, &reply)
	if err == nil {
		d.peers.record(order.target.Incarnation, reply.Message)
		return d.settleDuplicate(ctx, order, reply)
	}
	if errors.Is(err, wire.ErrNotSent) {
		return wire.RunReply{Status: wire.RunNotStarted, Reason: wire.ReasonUnreachable}, true
	}
	if ctx.Err() != nil {
		return unknownEnd(), true
	}
	return d.recover(ctx, order)
}

// settleDuplicate waits for the end of a task that the sidecar already had.
func (d *dispatcher) settleDuplicate(ctx context.Context, order dispatchOrder, reply wire.RunReply) (wire.RunReply, bool) {
	if reply.Status != wire.RunDuplicate {
		return reply, false
	}
	d.metrics.Duplicates.Inc(1)
	return d.attach(ctx, order)
}

// recover finds out what became of a task whose connection was lost. A record
// at the same incarnation is waited for. The absence of one proves nothing: the
// request may still be on its way into the sidecar.
func (d *dispatcher) recover(ctx context.Context, order dispatchOrder) (wire.RunReply, bool) {
	lookupCtx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	request := &wire.LookupRequest{Entry: d.self, Keys: []model.JobKey{order.ref.Key}}
	var reply wire.LookupReply
	err := d.pool.Call(lookupCtx, order.target.Address, wire.MethodLookup, request, &reply)
	if err != nil || reply.Sidecar != order.target.Incarnation {
		return unknownEnd(), true
	}
	for _, record := range reply.Records {
		if record.Ref == order.ref {
			return d.attach(ctx, order)
		}
	}
	return unknownEnd(), true
}

func (d *dispatcher) attach(ctx context.Context, order dispatchOrder) (wire.RunReply, bool) {
	var reply wire.RunReply
	request := &wire.AttachRequest{Entry: d.self, Ref: order.ref}
	err := d.pool.Call(ctx, order.target.Address, wire.MethodAttach, request, &reply)
	if err != nil {
		return unknownEnd(), true
	}
	d.peers.record(order.target.Incarnation, reply.Message)
	return reply, false
}

func unknownEnd() wire.RunReply {
	return wire.RunReply{Status: wire.RunUnknown}
}

// withdraw takes back a job's unstarted tasks at one sidecar. It is a hint: the
// job has its answer already, and what is not taken back runs out unobserved.
func (d *dispatcher) withdraw(ctx context.Context, address string, request *wire.WithdrawRequest) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var reply wire.WithdrawReply
	err := d.pool.Call(ctx, address, wire.MethodWithdraw, request, &reply)
	if err == nil && reply.Withdrawn == 0 && reply.Started == 0 {
		d.metrics.EmptyWithdrawals.Inc(1)
	}
}

// revoke ends this entry's permit at a sidecar whose zone or target was closed.
func (d *dispatcher) revoke(ctx context.Context, address string, version int64) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var reply wire.RevokeReply
	request := &wire.RevokeRequest{Entry: d.self, BundleVersion: version}
	_ = d.pool.Call(ctx, address, wire.MethodRevoke, request, &reply)
}

// forget closes the connection to an address, which ends the open calls there.
func (d *dispatcher) forget(address string) {
	d.pool.Forget(address)
}
