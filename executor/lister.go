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
	// listPause is the pause after a look that failed, and after one that
	// brought nothing new at once.
	listPause = 15 * time.Millisecond
	// noMinionPause is the pause while there is no minion.
	noMinionPause = 60 * time.Millisecond
)

// list renews the lease and reads the lists without end.
func (e *Executor) list(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		news, err := e.listOnce(ctx, true)
		switch {
		case errors.Is(err, ErrNoMinion):
			_ = pause.For(ctx, noMinionPause)
		case !news && time.Since(began) < listPause:
			_ = pause.For(ctx, listPause)
		}
	}
}

// listOnDemand looks at once when the core can't wait for the next look.
func (e *Executor) listOnDemand(ctx context.Context) {
	for {
		select {
		case <-e.urgent:
			if _, err := e.listOnce(ctx, false); err != nil {
				_ = pause.For(ctx, listPause)
				e.retryListing(err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// retryListing repeats an urgent look that was not answered. Where
// there is no minion, the looker itself finds the next one.
func (e *Executor) retryListing(err error) {
	if !errors.Is(err, ErrNoMinion) {
		e.requestListing()
	}
}

// listOnce sends one look, which may wait for an end, and reports whether it
// brought new ends.
func (e *Executor) listOnce(ctx context.Context, mayWait bool) (bool, error) {
	var request ListRequest
	renew := false
	alive := e.loop.Do(func(now time.Time) {
		request = ListRequest{Number: e.core.NextLook(), Fence: e.core.Fence(), AckedUpTo: e.core.AckedUpTo()}
		request.Wait, request.Grace = e.core.LookTimes(now)
		renew = e.core.MayRenew(now)
	})
	if !alive {
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
	news := false
	e.loop.Do(func(now time.Time) {
		before := e.core.NewestEnd()
		if e.core.OtherIncarnation(&listing) {
			e.forgetClock()
		}
		e.core.Listed(now, listing)
		news = e.core.NewestEnd() > before
	})
	return news
}

func (e *Executor) handleListFailure(request ListRequest, err error) {
	e.meters.listsFailed.Inc(1)
	switch {
	case errors.Is(err, ErrFenced):
		e.loop.Do(func(time.Time) { e.core.LookFenced(request.Fence) })
	case errors.Is(err, ErrOtherIncarnation):
		e.setMinionID("")
	default:
		refused := errors.Is(err, ErrNoMinion)
		if refused {
			e.forgetClock()
		}
		e.loop.Do(func(now time.Time) { e.core.LookFailed(now, refused) })
	}
	e.deps.Log.Failure(eventlog.KindOrderFailed).Str(eventlog.FieldName, "minion").Err(err).Msg("")
}
