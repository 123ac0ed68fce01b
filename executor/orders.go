package executor

import (
	"context"
	"time"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/decision/execution"
)

// startCall is an order to start a run together with its lease. The lease begins
// with the decision to start: if the process is paused between the decision and
// the call, the pause uses up the lease.
type startCall struct {
	order execution.Start
	// lease is the end of the lease on the minion's clock; 0 when that clock is
	// not known.
	lease int64
}

// sendOrders sends starts and stops to the minion, one at a time, until ctx ends.
func (e *Executor) sendOrders(ctx context.Context) {
	for {
		select {
		case stop := <-e.stops:
			e.sendStop(ctx, stop)
		case start := <-e.starts:
			e.sendStart(ctx, start)
		case <-ctx.Done():
			return
		}
	}
}

func (e *Executor) sendStart(ctx context.Context, call startCall) {
	start := call.order
	if call.lease == 0 {
		e.loop.Do(func(now time.Time) { e.core.StartAnswered(now, start, execution.StartRejected) })
		return
	}
	outcome, clock := e.deps.Minion.Start(ctx, e.minionID(), start, call.lease)
	e.observeClock(clock)
	e.meters.start(outcome)
	if outcome != execution.Started {
		e.deps.Log.Failure(eventlog.KindOrderUnanswered).Str(eventlog.FieldJob, string(start.Task.Job)).
			Int(eventlog.FieldTask, start.Task.Index).Int(eventlog.FieldRun, start.Number).
			Str(eventlog.FieldOutcome, outcome.String()).Int64(eventlog.FieldFence, start.Fence).Msg("")
	}
	e.loop.Do(func(now time.Time) { e.core.StartAnswered(now, start, outcome) })
}

func (e *Executor) sendStop(ctx context.Context, stop execution.Stop) {
	err := e.deps.Minion.Stop(ctx, e.minionID(), stop)
	line := e.deps.Log.Routine(eventlog.KindRunStopped).Str(eventlog.FieldJob, string(stop.Task.Job)).
		Int(eventlog.FieldTask, stop.Task.Index).Int(eventlog.FieldRun, stop.Number)
	if err != nil {
		// The core repeats the stop if the run is not listed as ended.
		line = line.Err(err)
	}
	line.Msg("")
	if err == nil {
		e.requestListing()
	}
}
