package sidecar

import (
	"context"
	"time"

	"github.com/figring/figring/common/pause"
)

const (
	// drainPoll is the interval at which a stopping sidecar looks whether calls
	// are still open.
	drainPoll = 20 * time.Millisecond
	// replyTimeout bounds the wait for the last replies to be written.
	replyTimeout = 2 * time.Second
	// leaveTimeout bounds the marking of the row at a stop.
	leaveTimeout = 3 * time.Second
)

// Run runs the sidecar until ctx ends, then stops in order: it tells the
// entries that it is draining, hands back what is queued, finishes what runs,
// delivers the replies and marks its row. It is called once.
func (s *Sidecar) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer s.shut(cancel)
	s.core.taskCtx = inner
	s.joining, s.halt = context.WithCancel(inner)
	defer s.halt()
	s.begin(inner)
	<-ctx.Done()
	return s.drain(inner)
}

func (s *Sidecar) begin(ctx context.Context) {
	s.duties.Go(func() { s.core.run(ctx) })
	s.duties.Go(func() { _ = s.rpc.Serve(s.traffic.Listener(s.rpcListener)) })
	s.serveHTTP(ctx, s.statusListener, s.statusHandler())
	s.serveHTTP(ctx, s.announceListener, s.deps.Announce)
	s.duties.Go(func() { s.join(ctx) })
}

// join writes the row and only then listens to the minion and the entries: no
// task may be taken by an incarnation that isn't in the table.
func (s *Sidecar) join(ctx context.Context) {
	err := s.row.register(s.joining)
	first := s.row.row.First
	close(s.joined)
	if err != nil {
		return
	}
	if s.box.send(registeredMessage{first: first}) != nil {
		return
	}
	s.duties.Go(func() { s.watch(ctx) })
	newDirectory(s).run(ctx)
}

func (s *Sidecar) drain(ctx context.Context) error {
	if err := s.box.send(drainMessage{}); err != nil {
		return err
	}
	s.halt()
	<-s.joined
	open := s.finish(ctx)
	delivered := s.deliver(ctx) == nil
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := s.row.leave(ctx, open > 0 || !delivered); err != nil {
		s.deps.Logger.Warn().Err(err).Msg("row not marked")
	}
	return nil
}

// deliver waits until the replies of ended calls are written.
func (s *Sidecar) deliver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	return s.rpc.Drain(ctx)
}

// finish waits until no call is open, at most for the drain limit, and returns
// the number of those that still are.
func (s *Sidecar) finish(ctx context.Context) int {
	limit := time.Now().Add(s.settings.DrainLimit)
	for {
		now, err := s.status()
		if err != nil {
			return 0
		}
		if now.calls == 0 || !time.Now().Before(limit) {
			return now.calls
		}
		_ = pause.For(ctx, drainPoll)
	}
}

// shut ends every goroutine. The owner of the state ends first, which ends the
// calls that are still open; the server can then wait for them.
func (s *Sidecar) shut(cancel context.CancelFunc) {
	cancel()
	<-s.box.done
	s.rpc.Close()
	s.pool.Close()
	s.core.tasks.Wait()
	s.duties.Wait()
	if s.core.minion != nil {
		s.core.minion.close()
	}
}
