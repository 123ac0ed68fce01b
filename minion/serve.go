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

// The bounds of a connection, and of the graceful stop.
const (
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 16 << 10
	// drainTimeout bounds the wait for running tasks.
	drainTimeout = 1 * time.Minute
	// stopTimeout bounds the wait for answers to be written.
	stopTimeout = 2 * time.Second
)

// Serve serves the minion at listener until ctx ends, and announces it to its
// sidecar. It then announces that it is leaving, refuses new tasks, waits for
// the running ones, and closes the minion. The connections of listener count
// against the limit; those of control, which may be nil, don't.
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
	err := m.live(ctx, listener.Addr().String(), failed)
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

// live announces the minion until ctx ends or a listener fails, and then
// leaves.
func (m *Minion) live(ctx context.Context, address string, failed <-chan error) error {
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
	m.leave(announcer, address)
	return err
}

// leave announces that the minion is leaving, and waits for its tasks.
func (m *Minion) leave(announcer *announcer, address string) {
	m.options.Logger.Info().Msg("leaving")
	empty := m.slots.leave()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if m.options.AnnounceURL != "" {
		announcer.send(ctx, m.announcement(address, store.MinionLeaving))
	}
	select {
	case <-empty:
	case <-ctx.Done():
		m.options.Logger.Warn().Msg("tasks still running at the end of the wait")
	}
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

func stopServer(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		return server.Close()
	}
	return nil
}
