package executor

import (
	"context"
	"errors"
	"time"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/decision/execution"
)

const (
	// listPause is the pause after a list request that failed, and the least time
	// between two requests while there are no new ends.
	listPause = 15 * time.Millisecond
	// noMinionPause is the pause between requests while no minion is listening.
	noMinionPause = 60 * time.Millisecond
)

// list renews the lease and lists the minion's runs, again and again until ctx
// ends.
func (e *Executor) list(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		newEnds, err := e.listOnce(ctx, true)
		switch {
		case errors.Is(err, ErrNoMinion):
			_ = pause.For(ctx, noMinionPause)
		case !newEnds && time.Since(began) < listPause:
			_ = pause.For(ctx, listPause)
		}
	}
}

// listOnDemand lists at once when the core can't wait for the next result of list.
func (e *Executor) listOnDemand(ctx context.Context) {
	for {
		select {
		case <-e.listRequested:
			if _, err := e.listOnce(ctx, false); err != nil {
				_ = pause.For(ctx, listPause)
				e.retryListing(err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// retryListing repeats an urgent list request that failed. While there is no
// minion it does not: list finds the next one.
func (e *Executor) retryListing(err error) {
	if !errors.Is(err, ErrNoMinion) {
		e.requestListing()
	}
}

// listOnce sends one list request and reports whether it returned new ends. With
// mayWait, the minion may hold the request until a run ends.
func (e *Executor) listOnce(ctx context.Context, mayWait bool) (bool, error) {
	var request ListRequest
	renew := false
	running := e.loop.Do(func(now time.Time) {
		request = ListRequest{Number: e.core.NextPoll(), Fence: e.core.Fence(), AckedUpTo: e.core.AckedUpTo()}
		request.Wait, request.Grace = e.core.PollTimeouts(now)
		renew = e.core.MayRenew(now)
	})
	if !running {
		return false, context.Canceled
	}
	if !mayWait {
		request.Wait = 0
	}
	if renew {
		request.Lease = e.grantLease()
	}
	listing, clock, err := e.deps.Minion.List(ctx, e.minionID(), request)
	if ctx.Err() != nil {
		return false, context.Canceled
	}
	e.observeClock(clock)
	if err != nil {
		e.handleListFailure(request, err)
		return false, err
	}
	return e.handleListing(listing), nil
}

func (e *Executor) handleListing(listing execution.Listing) bool {
	if listing.Malformed > 0 {
		e.deps.Log.Failure(eventlog.KindMalformed).Int(eventlog.FieldCount, listing.Malformed).Str(eventlog.FieldReason, "runs of the minion").Msg("")
	}
	newEnds := false
	e.loop.Do(func(now time.Time) {
		before := e.core.NewestEnd()
		if e.core.FromNewIncarnation(&listing) {
			e.forgetClock()
		}
		e.core.PollAnswered(now, listing)
		newEnds = e.core.NewestEnd() > before
	})
	return newEnds
}

func (e *Executor) handleListFailure(request ListRequest, err error) {
	e.meters.listsFailed.Inc(1)
	switch {
	case errors.Is(err, ErrFenced):
		e.loop.Do(func(time.Time) { e.core.PollFenced(request.Fence) })
	case errors.Is(err, ErrOtherIncarnation):
		e.setMinionID("")
	default:
		refused := errors.Is(err, ErrNoMinion)
		if refused {
			e.forgetClock()
		}
		e.loop.Do(func(now time.Time) { e.core.PollFailed(now, refused) })
	}
	e.deps.Log.Failure(eventlog.KindOrderUnanswered).Str(eventlog.FieldDependency, "minion").Err(err).Msg("")
}
