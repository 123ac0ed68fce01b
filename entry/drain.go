package entry

import (
	"context"
	"time"

	"github.com/figring/figring/common/pause"
)

const (
	// oldIncarnationLifetime is how long a replaced incarnation is kept, so that what is
	// on its way to it is answered.
	oldIncarnationLifetime = 30 * time.Second
	// drainPollInterval is the interval at which a drain looks whether work is left.
	drainPollInterval = 20 * time.Millisecond
)

// drain is the ordered stop. Readiness goes first, so that the balancer sends
// callers elsewhere; then the partitions, so that new jobs are decided
// elsewhere; then what is held is answered; then the session ends.
func (e *Entry) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), e.options.ShutdownTimeout)
	defer cancel()
	e.draining.Store(true)
	e.options.Log.Info().Str("entry", e.self.Name).Msg("draining")
	_ = pause.For(ctx, e.options.ReadyDelay)
	e.mu.Lock()
	e.stopped = true
	c := e.core.Load()
	e.mu.Unlock()
	leaveError := c.members.Leave(ctx)
	e.callersServer.shutdown(ctx)
	if e.operatorsServer != nil {
		e.operatorsServer.shutdown(ctx)
	}
	e.awaitIdle(ctx, c)
	c.endPermits(ctx)
	drainError := e.rpc.Drain(ctx)
	c.storeAnswers()
	closeError := c.members.Close(ctx)
	c.stop()
	e.options.Log.Info().Str("entry", e.self.Name).Msg("drained")
	return firstError(drainError, leaveError, closeError)
}

func (e *Entry) awaitIdle(ctx context.Context, c *core) {
	for ctx.Err() == nil && !c.owner.Idle(ctx) {
		_ = pause.For(ctx, drainPollInterval)
	}
}

func firstError(list ...error) error {
	for _, err := range list {
		if err != nil {
			return err
		}
	}
	return nil
}
