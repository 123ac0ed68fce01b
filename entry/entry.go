package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figring/figring/callerapi"
	"github.com/figring/figring/common/acceptretry"
	"github.com/figring/figring/common/identity"
	"github.com/figring/figring/model"
	"github.com/figring/figring/rollout"
	"github.com/figring/figring/wire"
)

// Entry is an entry process. It outlives its incarnations: when its session is
// taken over, it replaces its core.
type Entry struct {
	options   Options
	self      wire.EntryInfo
	pool      *wire.Pool
	rpc       *wire.Server
	traffic   *wire.Traffic
	bundles   *rollout.Watcher
	forwarder *Forwarder
	metrics   *Metrics
	// identities authenticates the callers that the bundle names.
	identities *identity.Callers
	draining   atomic.Bool
	// drainRequested is closed by requestDrain once a bundle names the entry as
	// drained.
	drainRequested chan struct{}
	requestDrain   func()

	mu   sync.Mutex
	core atomic.Pointer[core]
	// stopped is set once the drain forbids another incarnation.
	stopped bool

	callersServer   *httpServer
	operatorsServer *httpServer
	statusServer    *httpServer
}

// New opens the listeners of an entry and builds its components. Only the RPC
// server is started; Run starts the rest.
func New(options Options) (*Entry, error) {
	e := &Entry{options: options.withDefaults(), drainRequested: make(chan struct{})}
	e.requestDrain = sync.OnceFunc(func() { close(e.drainRequested) })
	e.metrics = NewMetrics(options.Metrics.Scope)
	e.traffic = wire.NewTraffic(options.Metrics.Scope)
	e.pool = wire.NewPool(options.Secret, options.RPCClientTLS, e.traffic.Dialer(options.Dialer))
	e.bundles = rollout.NewWatcher(options.Table, rollout.WatcherOptions{Logger: options.Log})
	e.identities = identity.NewCallers(e.bundles.View().Bundle)
	e.bundles.Subscribe(e.bundleChanged)
	e.forwarder = &Forwarder{current: e.current, pool: e.pool, metrics: e.metrics}
	if err := e.listen(); err != nil {
		e.closeListeners()
		return nil, err
	}
	return e, nil
}

// current returns the current incarnation.
func (e *Entry) current() *core { return e.core.Load() }

// Forwarder returns the component that sends jobs to the owners of their
// partitions.
func (e *Entry) Forwarder() *Forwarder { return e.forwarder }

// Bundles returns the watcher of the bundle in force.
func (e *Entry) Bundles() *rollout.Watcher { return e.bundles }

// CallersAddress returns the address at which callers are served.
func (e *Entry) CallersAddress() string { return e.callersServer.address() }

// OperatorsAddress returns the address at which operators are served.
func (e *Entry) OperatorsAddress() string {
	if e.operatorsServer == nil {
		return ""
	}
	return e.operatorsServer.address()
}

// StatusAddress returns the address that serves liveness, readiness, the status
// summary and metrics.
func (e *Entry) StatusAddress() string { return e.statusServer.address() }

// RPCAddress returns the address that other processes dial.
func (e *Entry) RPCAddress() string { return e.self.Address }

func (e *Entry) listen() error {
	listener, err := net.Listen("tcp", e.options.RPCListen)
	if err != nil {
		return errListen.Wrap(err)
	}
	e.self = wire.EntryInfo{Name: e.options.Name, Zone: e.options.Zone, Address: listener.Addr().String()}
	if e.options.RPCAdvertise != "" {
		e.self.Address = e.options.RPCAdvertise
	}
	e.rpc = wire.NewServer(e.options.Secret, e.options.RPCServerTLS)
	if err := e.rpc.Register("Entry", &Endpoint{entry: e}); err != nil {
		return errListen.Wrap(err)
	}
	e.core.Store(e.newCore())
	accepting := acceptretry.New(e.traffic.Listener(listener), func(err error) {
		e.options.Log.Warn().Err(err).Msg("a connection of another process could not be accepted")
	})
	go func() { _ = e.rpc.Serve(accepting) }()
	return e.listenHTTP()
}

func (e *Entry) listenHTTP() error {
	callers := callerapi.New(callerapi.Options{
		Jobs:         e.forwarder,
		Authenticate: e.authenticate,
		Draining:     e.draining.Load,
		Observe:      e.observe,
		MaxBodyBytes: e.options.MaxBodyBytes,
	})
	var err error
	if e.callersServer, err = newHTTPServer(e.options.CallersListen, callers, e.options.CallersTLS); err != nil {
		return err
	}
	if e.statusServer, err = newHTTPServer(e.options.StatusListen, e.statusHandler(), nil); err != nil {
		return err
	}
	if e.options.Operators == nil {
		return nil
	}
	operators, err := e.options.Operators(e)
	if err != nil {
		return errListen.Wrap(err)
	}
	e.operatorsServer, err = newHTTPServer(e.options.OperatorsListen, operators, e.options.OperatorsTLS)
	return err
}

func (e *Entry) authenticate(token string) (string, bool) {
	caller, ok := e.identities.Authenticate(token)
	return caller.Name, ok
}

func (e *Entry) observe(o callerapi.Observation) {
	if o.Class != "" {
		e.metrics.RecordResponseTime(o.Caller, o.Class, o.Elapsed)
	}
	if o.Class == "" && o.Code != "" {
		e.metrics.CountRefusal(model.Code(o.Code))
	}
}

func (e *Entry) bundleChanged(bundle model.Bundle) {
	e.identities.Update(bundle)
	if c := e.current(); c != nil {
		c.owner.post(bundleChangedEvent{bundle})
	}
	if !bundle.EntryOpen(e.options.Name) {
		e.requestDrain()
	}
}

// Run serves until ctx ends or the bundle in force names the entry as drained.
// It then drains the entry and returns once all accepted work is answered or
// Options.ShutdownTimeout is over.
func (e *Entry) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wait sync.WaitGroup
	wait.Go(func() { e.bundles.Run(background) })
	e.current().start()
	for _, server := range e.servers() {
		wait.Go(server.serve)
	}
	e.options.Log.Info().Str("role", "entry").Str("name", e.self.Name).Str("operators", e.OperatorsAddress()).Str("callers", e.CallersAddress()).
		Str("rpc", e.self.Address).Str("status", e.StatusAddress()).Msg("listening")
	select {
	case <-ctx.Done():
	case <-e.drainRequested:
	}
	err := e.drain()
	cancel()
	e.closeListeners()
	wait.Wait()
	return err
}

func (e *Entry) servers() []*httpServer {
	var list []*httpServer
	for _, server := range []*httpServer{e.callersServer, e.operatorsServer, e.statusServer} {
		if server != nil {
			list = append(list, server)
		}
	}
	return list
}

// replaceCore starts a new incarnation after the session of old was taken
// over. It does nothing during a drain, or when old was replaced already.
func (e *Entry) replaceCore(old *core) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped || e.core.Load() != old {
		return
	}
	e.options.Log.Warn().Str("incarnation", string(old.self.Incarnation)).Msg("session was taken over")
	fresh := e.newCore()
	e.core.Store(fresh)
	fresh.start()
	old.owner.post(fencedEvent{})
	time.AfterFunc(oldIncarnationLifetime, old.stop)
}

// Ready reports whether the load balancer should send callers to this entry.
func (e *Entry) Ready() bool {
	return !e.draining.Load() && e.current().members.Ready() && e.current().admitting(time.Now())
}

// Status returns a summary of the entry's state.
func (e *Entry) Status(ctx context.Context) Status {
	c := e.current()
	now := time.Now()
	view := c.bundles.View()
	owned := 0
	for partition := range model.Partitions {
		if c.members.Owns(partition) {
			owned++
		}
	}
	return Status{
		Name:          c.self.Name,
		Incarnation:   c.self.Incarnation,
		Zone:          c.self.Zone,
		Ready:         e.Ready(),
		Draining:      e.draining.Load(),
		LeaseMs:       max(0, c.members.Lease().Sub(now).Milliseconds()),
		BundleVersion: view.Bundle.Version,
		BundleFreshMs: max(0, view.FreshUntil.Sub(now).Milliseconds()),
		Partitions:    owned,
		Owner:         c.owner.Status(ctx),
	}
}

func (e *Entry) closeListeners() {
	for _, server := range e.servers() {
		server.close()
	}
	if e.rpc != nil {
		e.rpc.Close()
	}
	e.pool.Close()
}
