package entry

import (
	"context"
	"time"

	"github.com/figring/figring/common/pause"
)

const (
	// oldIncarnationLifetime is how long a replaced incarnation keeps running, so
	// that messages on their way to it are still answered.
	oldIncarnationLifetime = 30 * time.Second
	// drainPollInterval is the interval at which a drain checks for work left.
	drainPollInterval = 20 * time.Millisecond
)

// drain shuts the entry down in order. It first turns readiness off, so that
// the load balancer sends callers to other entries, then gives the partitions
// away, so that other entries own new jobs. It then waits until the jobs it
// still holds are answered, and ends the session last.
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
	c.flushAnswers()
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
