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
	callTimeoutMargin = 5 * time.Second
	// lookupTimeout bounds the question what became of a task whose connection
	// was lost.
	lookupTimeout = 2 * time.Second
)

// dispatchOrder tells the dispatcher to send one task.
type taskDispatch struct {
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
type dispatchResult struct {
	dispatch taskDispatch
	reply    wire.RunReply
	// lost is set when the reply is RunUnknown because of the connection.
	connectionLost bool
	// elapsed is the time from the send to the end.
	elapsed time.Duration
}

// dispatcher keeps one open call for each dispatched task and reports its end.
type dispatcher struct {
	self    model.Incarnation
	pool    rpcCaller
	peers   *peers
	permits permitSource
	metrics *Metrics
	// report hands an end to the owner's loop.
	report func(dispatchResult)
}

// send carries an order out; it runs in a goroutine of its own.
func (d *dispatcher) send(ctx context.Context, dispatch taskDispatch) {
	ctx, cancel := context.WithTimeout(ctx, dispatch.timeout+callTimeoutMargin)
	defer cancel()
	started := time.Now()
	result := dispatchResult{dispatch: dispatch}
	if dispatch.attach {
		result.reply, result.connectionLost = d.attach(ctx, dispatch)
	} else {
		result.reply, result.connectionLost = d.run(ctx, dispatch)
	}
	result.elapsed = time.Since(started)
	d.report(result)
}

// run sends the task. The permit is computed at the last step before the send,
// so that an entry that lost its lease meanwhile sends nothing.
func (d *dispatcher) run(ctx context.Context, dispatch taskDispatch) (wire.RunReply, bool) {
	permit := d.permits.Permit(&dispatch.target)
	if permit.TTL <= 0 {
		return wire.RunReply{Status: wire.RunNotStarted, Reason: wire.ReasonNoPermit}, false
	}
	request := &wire.RunRequest{
		Entry:      d.self,
		Sidecar:    dispatch.target.Incarnation,
		Permit:     permit,
		Ref:        dispatch.ref,
		Class:      dispatch.class,
		Payload:    dispatch.payload,
		Timeout:    dispatch.timeout,
		MaxQueue:   dispatch.maxQueue,
		Repeatable: dispatch.repeatable,
	}
	var reply wire.RunReply
	err := d.pool.Call(ctx, dispatch.target.Address, wire.MethodRun, request, &reply)
	if err == nil {
		d.peers.heard(dispatch.target.Incarnation, reply.Message)
		return d.resolveDuplicate(ctx, dispatch, reply)
	}
	if errors.Is(err, wire.ErrNotSent) {
		return wire.RunReply{Status: wire.RunNotStarted, Reason: wire.ReasonUnreachable}, true
	}
	if ctx.Err() != nil {
		return unknownReply(), true
	}
	return d.resolveLostCall(ctx, dispatch)
}

// settleDuplicate waits for the end of a task that the sidecar already had.
func (d *dispatcher) resolveDuplicate(ctx context.Context, dispatch taskDispatch, reply wire.RunReply) (wire.RunReply, bool) {
	if reply.Status != wire.RunDuplicate {
		return reply, false
	}
	d.metrics.Duplicates.Inc(1)
	return d.attach(ctx, dispatch)
}

// recover finds out what became of a task whose connection was lost. A record
// at the same incarnation is waited for. The absence of one proves nothing: the
// request may still be on its way into the sidecar.
func (d *dispatcher) resolveLostCall(ctx context.Context, dispatch taskDispatch) (wire.RunReply, bool) {
	lookupCtx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	request := &wire.LookupRequest{Entry: d.self, Keys: []model.JobKey{dispatch.ref.Key}}
	var reply wire.LookupReply
	err := d.pool.Call(lookupCtx, dispatch.target.Address, wire.MethodLookup, request, &reply)
	if err != nil || reply.Sidecar != dispatch.target.Incarnation {
		return unknownReply(), true
	}
	for _, record := range reply.Records {
		if record.Ref == dispatch.ref {
			return d.attach(ctx, dispatch)
		}
	}
	return unknownReply(), true
}

func (d *dispatcher) attach(ctx context.Context, dispatch taskDispatch) (wire.RunReply, bool) {
	var reply wire.RunReply
	request := &wire.AttachRequest{Entry: d.self, Ref: dispatch.ref}
	err := d.pool.Call(ctx, dispatch.target.Address, wire.MethodAttach, request, &reply)
	if err != nil {
		return unknownReply(), true
	}
	d.peers.heard(dispatch.target.Incarnation, reply.Message)
	return reply, false
}

func unknownReply() wire.RunReply {
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
func (d *dispatcher) closeConnection(address string) {
	d.pool.Forget(address)
}
