package sidecar

import (
	"context"
	"time"

	"github.com/figring/figring/common/acceptretry"
	"github.com/figring/figring/common/pause"
)

const (
	// drainPollInterval is the interval at which a sidecar that is shutting down
	// checks for open calls.
	drainPollInterval = 20 * time.Millisecond
	// replyTimeout bounds the wait until the last replies are written.
	replyTimeout = 2 * time.Second
	// markLeftTimeout bounds marking the row as left during shutdown.
	markLeftTimeout = 3 * time.Second
)

// Run runs the sidecar until ctx ends and then shuts it down gracefully: it tells
// the entries that it is draining, hands back queued tasks, waits for running tasks
// and for the replies to be written, and marks its row as left. Run must be called
// only once.
func (s *Sidecar) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer s.shutDown(cancel)
	s.loop.taskCtx = runCtx
	s.registerCtx, s.cancelRegister = context.WithCancel(runCtx)
	defer s.cancelRegister()
	s.start(runCtx)
	<-ctx.Done()
	return s.drain(runCtx)
}

// start starts the event loop, the servers and the registration.
func (s *Sidecar) start(ctx context.Context) {
	s.goroutines.Go(func() { s.loop.run(ctx) })
	accepting := acceptretry.New(s.traffic.Listener(s.rpcListener), func(err error) {
		s.deps.Logger.Warn().Err(err).Msg("a connection of an entry could not be accepted")
	})
	s.goroutines.Go(func() { _ = s.rpc.Serve(accepting) })
	s.serveHTTP(ctx, s.statusListener, s.statusHandler())
	s.serveHTTP(ctx, s.announceListener, s.deps.Announce)
	s.goroutines.Go(func() { s.registerAndRenew(ctx) })
}

// registerAndRenew writes the row before it starts reading announcements of the
// minion and renewing permits, because an incarnation that is not in the table must
// not accept tasks.
func (s *Sidecar) registerAndRenew(ctx context.Context) {
	err := s.rowWriter.register(s.registerCtx)
	first := s.rowWriter.row.First
	close(s.registerDone)
	if err != nil {
		return
	}
	if s.mailbox.send(registeredMessage{firstIncarnation: first}) != nil {
		return
	}
	s.goroutines.Go(func() { s.watchMinion(ctx) })
	newDirectory(s).run(ctx)
}

// drain performs the graceful shutdown.
func (s *Sidecar) drain(ctx context.Context) error {
	if err := s.mailbox.send(drainMessage{}); err != nil {
		return err
	}
	s.cancelRegister()
	<-s.registerDone
	open := s.waitForCalls(ctx)
	delivered := s.waitForReplies(ctx) == nil
	ctx, cancel := context.WithTimeout(ctx, markLeftTimeout)
	defer cancel()
	if err := s.rowWriter.markLeft(ctx, open > 0 || !delivered); err != nil {
		s.deps.Logger.Warn().Err(err).Msg("failed to mark the sidecar's row as left")
	}
	return nil
}

// waitForReplies waits until the replies to completed calls are written, at most for
// replyTimeout.
func (s *Sidecar) waitForReplies(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	return s.rpc.Drain(ctx)
}

// waitForCalls waits until no call is open, at most for Settings.DrainLimit, and
// returns the number of calls that are still open.
func (s *Sidecar) waitForCalls(ctx context.Context) int {
	deadline := time.Now().Add(s.settings.DrainLimit)
	for {
		current, err := s.status()
		if err != nil {
			return 0
		}
		if current.calls == 0 || !time.Now().Before(deadline) {
			return current.calls
		}
		_ = pause.For(ctx, drainPollInterval)
	}
}

// shutDown ends all goroutines. The event loop ends first, which ends the calls that
// are still open, so that the server can wait for them.
func (s *Sidecar) shutDown(cancel context.CancelFunc) {
	cancel()
	<-s.mailbox.done
	s.rpc.Close()
	s.pool.Close()
	s.loop.tasks.Wait()
	s.goroutines.Wait()
	if s.loop.minion != nil {
		s.loop.minion.close()
	}
}
