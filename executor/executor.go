package executor

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/common/serial"
	"github.com/figring/figring/decision/execution"
	"github.com/figring/figring/manifest"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/directory"
	"github.com/figring/figring/session/link"
)

const (
	// loopQueueSize is the number of steps that wait for the loop.
	loopQueueSize = 1024
	// tickInterval is how often the loop looks at what is due by time alone.
	tickInterval = 25 * time.Millisecond
	// orderQueueSize is the number of calls that wait for a caller.
	orderQueueSize = 2048
	// orderSenders is the number of calls to the minion at one time.
	orderSenders = 24
	// urgentListers is the number of looks beside the looker's own.
	urgentListers = 2
)

// Settings of an executor.
type Settings struct {
	Self session.Peer
	// Listen is the address of the RPC listener.
	Listen string
	Secret string
	// SidecarsPerEntry is the number of sidecars that each entry should have
	// sessions with.
	SidecarsPerEntry int
	// Drain bounds the time that running tasks get at a planned stop.
	Drain time.Duration
}

// Dependencies are what an executor is built from.
type Dependencies struct {
	Minion    Minion
	Holder    *manifest.Holder
	Directory *directory.Directory
	Log       *eventlog.Log
	Scope     tally.Scope
}

// Executor is a running sidecar.
type Executor struct {
	settings Settings
	deps     Dependencies
	meters   *meters
	loop     *serial.Loop
	core     *execution.Core
	listener *link.Listener

	starts chan startCall
	stops  chan execution.Stop
	urgent chan struct{}

	// instance is the identity of the minion that orders are meant for. The
	// loop alone writes it.
	mu         sync.Mutex
	clock      execution.LeaseClock
	instanceID string
	sessions   map[string]*conn
	// dismissed are the entries whose sessions are too many.
	dismissed map[string]bool
	// lastReport is what the minion said of itself last.
	lastReport Report

	// nextResourceLog is when the next line on the room is due. The loop alone
	// uses it.
	nextResourceLog time.Time
}

// New opens the listener of an executor.
func New(settings Settings, deps Dependencies) (*Executor, error) {
	e := &Executor{
		settings: settings,
		deps:     deps,
		meters:   newMeters(deps.Scope),
		core:     execution.New(time.Now().UnixMilli()),
		starts:   make(chan startCall, orderQueueSize),
		stops:    make(chan execution.Stop, orderQueueSize),
		urgent:   make(chan struct{}, 1),
		sessions: make(map[string]*conn),
	}
	e.loop = serial.New(loopQueueSize, tickInterval, e.tick, e.applyActions)
	listener, err := link.Listen(settings.Listen, settings.Secret, serviceName, e.accept)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	e.listener = listener
	return e, nil
}

// Run serves until ctx ends and then drains: what waits is handed back, what
// runs is finished, for Settings.Drain at most.
func (e *Executor) Run(ctx context.Context) error {
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, working := errgroup.WithContext(working)
	group.Go(func() error { e.loop.Run(working); return nil })
	group.Go(e.listener.Serve)
	group.Go(func() error { e.list(working); return nil })
	for range urgentListers {
		group.Go(func() error { e.listOnDemand(working); return nil })
	}
	group.Go(func() error { e.announce(working); return nil })
	group.Go(func() error { e.watchZones(working); return nil })
	for range orderSenders {
		group.Go(func() error { e.sendOrders(working); return nil })
	}
	select {
	case <-ctx.Done():
		e.drain(working)
	case <-working.Done():
	}
	stop()
	e.listener.Close()
	return group.Wait()
}

// drainPoll is how often a drain looks whether everything has ended.
const drainPoll = 20 * time.Millisecond

func (e *Executor) drain(ctx context.Context) {
	e.deps.Log.Failure(eventlog.KindStop).Str(eventlog.FieldReason, "drain").Msg("")
	e.loop.Do(e.core.Drain)
	deadline := time.NewTimer(e.settings.Drain)
	defer deadline.Stop()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		idle := true
		e.loop.Do(func(time.Time) { idle = e.core.Idle() && e.core.Told() })
		if idle {
			return
		}
		select {
		case <-ticker.C:
		case <-deadline.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// tick looks at what is due by time alone.
func (e *Executor) tick(now time.Time) {
	if e.leasesExpired() {
		e.core.LeaseLapsed(now)
	}
	e.core.Tick(now)
}

// applyActions does what the core asked for.
func (e *Executor) applyActions(now time.Time) {
	for _, action := range e.core.Take() {
		switch action := action.(type) {
		case execution.Start:
			e.enqueueStart(now, action)
		case execution.Stop:
			select {
			case e.stops <- action:
			default:
				// The core asks again when the run is not listed as ended.
				e.meters.orderQueueFull.Inc(1)
			}
		case execution.Look:
			e.requestListing()
		case execution.Wake:
			e.wakePoll(action)
		}
	}
	e.logDecisions()
}

func (e *Executor) enqueueStart(now time.Time, start execution.Start) {
	select {
	case e.starts <- startCall{start, e.grantLease()}:
	default:
		// The order was not sent, so nothing was done.
		e.meters.orderQueueFull.Inc(1)
		e.core.StartAnswered(now, start, execution.StartRejected)
	}
}

func (e *Executor) requestListing() {
	select {
	case e.urgent <- struct{}{}:
	default:
	}
}

// watchZones tells the core whether its availability zone is taken out.
func (e *Executor) watchZones(ctx context.Context) {
	snapshots := e.deps.Holder.Watch()
	for {
		select {
		case snapshot := <-snapshots:
			evacuated := snapshot.Evacuated(e.settings.Self.Zone)
			e.loop.Do(func(now time.Time) { e.core.SetEvacuated(now, evacuated) })
		case <-ctx.Done():
			return
		}
	}
}

func (e *Executor) minionID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instanceID
}

func (e *Executor) setMinionID(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.instanceID = id
}
