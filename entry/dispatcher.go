package entry

import (
	"context"
	"errors"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

const (
	// callTimeoutMargin is added to a task's timeout to get the timeout of the call
	// that waits for the task.
	callTimeoutMargin = 5 * time.Second
	// lookupTimeout limits the lookup of a task after its connection was lost, and
	// other short calls.
	lookupTimeout = 2 * time.Second
)

// taskDispatch is one task to send to a sidecar.
type taskDispatch struct {
	target     wire.Target
	ref        model.TaskRef
	attempt    int
	class      string
	payload    []byte
	timeout    time.Duration
	maxQueue   time.Duration
	repeatable bool
	// attach means that the sidecar has the task from a former owner: the dispatcher
	// waits for the end of the task instead of sending it.
	attach bool
}

// dispatchResult reports how a dispatch ended.
type dispatchResult struct {
	dispatch taskDispatch
	reply    wire.RunReply
	// connectionLost is set if the sidecar did not answer the call, so that the
	// dispatcher itself chose the status of reply.
	connectionLost bool
	// elapsed is the time from sending the task to the end of the dispatch.
	elapsed time.Duration
}

// dispatcher keeps one open call for each dispatched task and reports the result.
type dispatcher struct {
	self    model.Incarnation
	pool    rpcCaller
	peers   *messageTracker
	permits permitSource
	metrics *Metrics
	// report passes a result to the owner's event loop.
	report func(dispatchResult)
}

// send performs a dispatch and reports its result. Each call runs in its own
// goroutine.
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

// run sends the task. The permit is computed immediately before the send, so that
// an entry that has lost its lease in the meantime sends nothing.
func (d *dispatcher) run(ctx context.Context, dispatch taskDispatch) (wire.RunReply, bool) {
	permit := d.permits.Permit(&dispatch.target)
	if permit.TTL <= 0 {
		return wire.RunReply{Status: wire.RunNotStarted, Reason: wire.ReasonNoPermit}, false
	}
	request := &wire.RunRequest{
		Entry:        d.self,
		Sidecar:      dispatch.target.Incarnation,
		Permit:       permit,
		Ref:          dispatch.ref,
		Class:        dispatch.class,
		Payload:      dispatch.payload,
		Timeout:      dispatch.timeout,
		MaxQueueWait: dispatch.maxQueue,
		Repeatable:   dispatch.repeatable,
	}
	var reply wire.RunReply
	err := d.pool.Call(ctx, dispatch.target.Address, wire.MethodRun, request, &reply)
	if err == nil {
		d.peers.record(dispatch.target.Incarnation, reply.MessageNumber)
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

// resolveDuplicate waits for the end of the task if the sidecar replied that it
// already has the task, and otherwise returns reply.
func (d *dispatcher) resolveDuplicate(ctx context.Context, dispatch taskDispatch, reply wire.RunReply) (wire.RunReply, bool) {
	if reply.Status != wire.RunDuplicate {
		return reply, false
	}
	d.metrics.Duplicates.Inc(1)
	return d.attach(ctx, dispatch)
}

// resolveLostCall looks up a task whose connection was lost. If the same
// incarnation of the sidecar has a record of the task, it waits for the task. A
// missing record proves nothing, because the request may still be in transit to
// the sidecar.
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
	d.peers.record(dispatch.target.Incarnation, reply.MessageNumber)
	return reply, false
}

func unknownReply() wire.RunReply {
	return wire.RunReply{Status: wire.RunUnknown}
}

// withdraw withdraws a job's unstarted tasks from one sidecar. It is best effort:
// the job already has its answer, and the results of tasks that are not withdrawn
// are ignored.
func (d *dispatcher) withdraw(ctx context.Context, address string, request *wire.WithdrawRequest) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var reply wire.WithdrawReply
	err := d.pool.Call(ctx, address, wire.MethodWithdraw, request, &reply)
	if err == nil && reply.Withdrawn == 0 && reply.Started == 0 {
		d.metrics.EmptyWithdrawals.Inc(1)
	}
}

// revoke ends this entry's permit at a sidecar that the bundle closed, either as a
// target or with its zone.
func (d *dispatcher) revoke(ctx context.Context, address string, version int64) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var reply wire.RevokeReply
	request := &wire.RevokeRequest{Entry: d.self, BundleVersion: version}
	_ = d.pool.Call(ctx, address, wire.MethodRevoke, request, &reply)
}

// closeConnection closes the connection to an address, which ends the open calls
// to it.
func (d *dispatcher) closeConnection(address string) {
	d.pool.Disconnect(address)
}
