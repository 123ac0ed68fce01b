package minion

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/figring/figring/store"
)

// Limits of the HTTP server, and timeouts of the graceful shutdown.
const (
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 16 << 10
	// drainTimeout is the maximum time to announce that the minion is leaving and
	// to wait for running tasks.
	drainTimeout = 1 * time.Minute
	// closeDelay is how long an idle minion goes on refusing tasks after its sidecar knows
	// that it leaves: tasks that were sent before may still be on their way.
	closeDelay = 200 * time.Millisecond
	// stopTimeout is the maximum time to wait for responses to be written.
	stopTimeout = 2 * time.Second
)

// Serve serves the minion on listener and announces it to the sidecar until ctx
// is done or a listener fails. It then refuses new tasks, announces that the
// minion is leaving, waits for running tasks, and closes the minion a little later, so
// that tasks that were sent before the sidecar knew are refused, not cut off. Connections
// to listener count towards Options.Connections. Connections to control, which
// may be nil, do not.
func (m *Minion) Serve(ctx context.Context, listener, control net.Listener) error {
	server := m.server()
	limited := &limitedListener{
		Listener: listener,
		limit:    int64(m.options.Connections),
		overruns: &m.connectionOverruns,
		peak:     &m.peakConnections,
	}
	failed := make(chan error, 2)
	var serving sync.WaitGroup
	serving.Go(func() { failed <- server.Serve(limited) })
	if control != nil {
		serving.Go(func() { failed <- server.Serve(control) })
	}
	err := m.runUntilDone(ctx, listener.Addr().String(), failed)
	err = errors.Join(err, stopServer(server))
	serving.Wait()
	return errors.Join(err, m.Close())
}

func (m *Minion) server() *http.Server {
	return &http.Server{
		Handler:           m,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}

// runUntilDone announces the minion until ctx is done or a listener fails, and then waits
// for running tasks.
func (m *Minion) runUntilDone(ctx context.Context, address string, failed <-chan error) error {
	announcer := newAnnouncer(m.options.AnnounceURL, m.options.Logger)
	defer announcer.close()
	ctx, cancel := context.WithCancel(ctx)
	var announcing sync.WaitGroup
	if m.options.AnnounceURL != "" {
		announcing.Go(func() { announcer.repeat(ctx, m.announcement(address, store.MinionReady)) })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	cancel()
	announcing.Wait()
	m.drain(announcer, address)
	return err
}

// drain refuses new tasks, announces that the minion is leaving, waits up to
// drainTimeout for running tasks, and goes on refusing for closeDelay.
func (m *Minion) drain(announcer *announcer, address string) {
	m.options.Logger.Info().Msg("leaving")
	drained := m.slots.leave()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if m.options.AnnounceURL != "" {
		announcer.send(ctx, m.announcement(address, store.MinionLeaving))
	}
	select {
	case <-drained:
	case <-ctx.Done():
		m.options.Logger.Warn().Msg("tasks are still running after the drain timeout")
	}
	time.Sleep(closeDelay)
}

func (m *Minion) announcement(address string, state store.AnnouncementState) store.Announcement {
	return store.Announcement{
		Minion:      m.options.Name,
		State:       state,
		Address:     address,
		Slots:       m.options.Slots,
		Connections: m.options.Connections,
		Cores:       m.options.Cores,
		MemoryBytes: m.options.MemoryBytes,
	}
}

// stopServer shuts the server down, and closes its connections if that takes
// longer than stopTimeout.
func stopServer(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		return server.Close()
	}
	return nil
}
