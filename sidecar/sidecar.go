package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/decision/permit"
	"github.com/figring/figring/decision/startgate"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// Sidecar is one incarnation of a sidecar process.
type Sidecar struct {
	settings  Settings
	deps      Dependencies
	self      model.Incarnation
	rowWriter *rowWriter

	mailbox        *mailbox
	changed        *broadcaster
	unknownEntries chan model.Incarnation
	loop           *eventLoop
	pool           *wire.Pool
	rpc            *wire.Server
	traffic        *wire.Traffic

	rpcListener      net.Listener
	statusListener   net.Listener
	announceListener net.Listener

	entries         tally.Gauge
	renewals        tally.Counter
	renewalFailures tally.Counter

	// registerCtx ends when a graceful shutdown starts. registerDone is closed when
	// the registration has ended. The shutdown waits for it before it uses
	// rowWriter, so that only one goroutine uses rowWriter at a time.
	registerCtx    context.Context
	cancelRegister context.CancelFunc
	registerDone   chan struct{}

	// goroutines holds all goroutines except those in eventLoop.tasks.
	goroutines sync.WaitGroup
}

// New returns a sidecar. Its listeners are open, but it does nothing else until Run.
func New(settings Settings, deps Dependencies) (*Sidecar, error) {
	if deps.Scope == nil {
		deps.Scope = tally.NoopScope
	}
	if deps.Logger == nil {
		deps.Logger = &log.DefaultLogger
	}
	traffic := wire.NewTraffic(deps.Scope)
	s := &Sidecar{
		settings:        settings.withDefaults(),
		deps:            deps,
		self:            model.NewIncarnation(settings.Name),
		mailbox:         newMailbox(),
		changed:         newBroadcaster(),
		registerDone:    make(chan struct{}),
		unknownEntries:  make(chan model.Incarnation, 16),
		pool:            wire.NewPool(settings.Secret, deps.RPCClientTLS, traffic.Dialer(deps.Dialer)),
		rpc:             wire.NewServer(settings.Secret, deps.RPCServerTLS),
		traffic:         traffic,
		entries:         deps.Scope.Gauge(metrics.SidecarEntries),
		renewals:        deps.Scope.Counter(metrics.SidecarRenewals),
		renewalFailures: deps.Scope.Counter(metrics.SidecarRenewalFailures),
	}
	if err := s.listen(); err != nil {
		s.closeListeners()
		return nil, err
	}
	s.initState(time.Now())
	return s, Error.Wrap(s.rpc.Register("Sidecar", &service{mailbox: s.mailbox}))
}

// initState creates the event loop and the row writer.
func (s *Sidecar) initState(now time.Time) {
	target := wire.Target{
		Sidecar:     s.settings.Name,
		Incarnation: s.self,
		Zone:        s.settings.Zone,
		Rack:        s.settings.Rack,
		Worker:      s.settings.Worker,
		Address:     s.Address(),
		State:       wire.TargetEmpty,
	}
	permits := permit.NewSet()
	s.loop = &eventLoop{
		mailbox: s.mailbox,
		target:  target,
		worker:  s.settings.Worker,
		started: now,
		gate: startgate.New(startgate.Settings{
			Self:          s.self,
			QueueCapacity: s.settings.QueueCapacity,
			RecordLimit:   s.settings.RecordLimit,
			ResultBytes:   s.settings.ResultBytes,
		}, permits, now),
		permits:        permits,
		calls:          make(map[uint64]*call),
		changed:        s.changed,
		unknownEntries: s.unknownEntries,
		meters:         newMeters(s.deps.Scope),
		logger:         s.deps.Logger,
	}
	s.rowWriter = &rowWriter{table: s.deps.Table, row: wire.SidecarRow{Target: target, Started: now.UnixMilli()}}
}

// Incarnation returns the incarnation of this sidecar.
func (s *Sidecar) Incarnation() model.Incarnation { return s.self }

// Address returns the address that entries dial.
func (s *Sidecar) Address() string {
	if s.settings.RPCAdvertise != "" {
		return s.settings.RPCAdvertise
	}
	return s.rpcListener.Addr().String()
}

// StatusAddress returns the address of the status endpoints, or "" if they are
// disabled.
func (s *Sidecar) StatusAddress() string { return addressOf(s.statusListener) }

// AnnounceAddress returns the address for the minion's announcements, or "" if the
// listener is disabled.
func (s *Sidecar) AnnounceAddress() string { return addressOf(s.announceListener) }

func addressOf(listener net.Listener) string {
	if listener == nil {
		return ""
	}
	return listener.Addr().String()
}

// listen opens the configured listeners. After an error, those already open stay
// open.
func (s *Sidecar) listen() error {
	var err error
	if s.rpcListener, err = net.Listen("tcp", s.settings.RPCListen); err != nil {
		return Error.Wrap(err)
	}
	if s.settings.StatusListen != "" {
		if s.statusListener, err = net.Listen("tcp", s.settings.StatusListen); err != nil {
			return Error.Wrap(err)
		}
	}
	if s.settings.AnnounceListen != "" && s.deps.Announce != nil {
		if s.announceListener, err = net.Listen("tcp", s.settings.AnnounceListen); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

func (s *Sidecar) closeListeners() {
	for _, listener := range []net.Listener{s.rpcListener, s.statusListener, s.announceListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// serveHTTP serves handler on listener until ctx ends. A nil listener is skipped.
func (s *Sidecar) serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) {
	if listener == nil {
		return
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: httpHeaderTimeout, IdleTimeout: httpIdleTimeout}
	s.goroutines.Go(func() { _ = server.Serve(listener) })
	s.goroutines.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
}

const (
	httpHeaderTimeout = 2 * time.Second
	httpIdleTimeout   = time.Minute
)
