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
	// lookPause is the pause after a look that failed, and after one that
	// brought nothing new at once.
	lookPause = 15 * time.Millisecond
	// failedPause is the pause while there is no minion.
	failedPause = 60 * time.Millisecond
)

// look renews the lease and reads the lists without end.
func (e *Executor) look(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		news, err := e.lookOnce(ctx, true)
		switch {
		case errors.Is(err, ErrNoMinion):
			_ = pause.For(ctx, failedPause)
		case !news && time.Since(began) < lookPause:
			_ = pause.For(ctx, lookPause)
		}
	}
}

// lookUrgently looks at once when the core can't wait for the next look.
func (e *Executor) lookUrgently(ctx context.Context) {
	for {
		select {
		case <-e.urgent:
			if _, err := e.lookOnce(ctx, false); err != nil {
				_ = pause.For(ctx, lookPause)
				e.lookSoonUnlessFailing(err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// lookSoonUnlessFailing repeats an urgent look that was not answered. Where
// there is no minion, the looker itself finds the next one.
func (e *Executor) lookSoonUnlessFailing(err error) {
	if !errors.Is(err, ErrNoMinion) {
		e.lookSoon()
	}
}

// lookOnce sends one look, which may wait for an end, and reports whether it
// brought new ends.
func (e *Executor) lookOnce(ctx context.Context, waits bool) (bool, error) {
	var look ListRequest
	renew := false
	alive := e.loop.Do(func(now time.Time) {
		look = ListRequest{Number: e.core.NextLook(), Fence: e.core.Fence(), AckedUpTo: e.core.AckedUpTo()}
		look.Wait, look.Grace = e.core.LookTimes(now)
		renew = e.core.MayRenew(now)
	})
	if !alive {
		return false, context.Canceled
	}
	if !waits {
		look.Wait = 0
	}
	if renew {
		look.Lease = e.giveLease()
	}
	listing, clock, err := e.deps.Minion.List(ctx, e.minionID(), look)
	if ctx.Err() != nil {
		return false, context.Canceled
	}
	e.observeClock(clock)
	if err != nil {
		e.lookFailed(look, err)
		return false, err
	}
	return e.listed(listing), nil
}

func (e *Executor) listed(listing execution.Listing) bool {
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

func (e *Executor) lookFailed(look ListRequest, err error) {
	e.meters.looksFailed.Inc(1)
	switch {
	case errors.Is(err, ErrFenced):
		e.loop.Do(func(time.Time) { e.core.LookFenced(look.Fence) })
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
