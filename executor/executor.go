package executor

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/common/serial"
	"github.com/figring/figring/decision/classload"
	"github.com/figring/figring/decision/execution"
	"github.com/figring/figring/manifest"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/directory"
	"github.com/figring/figring/session/link"
)

const (
	// loopQueueSize is the capacity of the loop's queue of steps.
	loopQueueSize = 1024
	// tickInterval is the interval at which the loop handles timeouts.
	tickInterval = 25 * time.Millisecond
	// orderQueueSize is the capacity of the queue of starts, and of that of stops.
	orderQueueSize = 2048
	// orderSenders is the number of starts and stops that are sent concurrently.
	orderSenders = 24
	// urgentListers is the number of goroutines that list on demand, in addition
	// to the one that lists continuously.
	urgentListers = 2
)

// Settings of an executor.
type Settings struct {
	Self session.Peer
	// Listen is the address of the RPC listener.
	Listen string
	Secret string
	// SidecarsPerEntry is the number of sidecars with which each entry should have
	// sessions.
	SidecarsPerEntry int
	// RunTimeEstimates makes the sidecar report run times and failures of its minion.
	RunTimeEstimates bool
	// SeparateInterference makes the sidecar measure and report which kinds of tasks slow
	// each other down.
	SeparateInterference bool
	// Drain bounds the time for which a planned stop waits for running tasks.
	Drain time.Duration
}

// Dependencies are the services and shared state that an executor uses.
type Dependencies struct {
	Minion    Minion
	Holder    *manifest.Holder
	Directory *directory.Directory
	Log       *eventlog.Log
	Scope     tally.Scope
	// Listen opens the RPC listener.
	Listen func(address string) (net.Listener, error)
	// PeersDiscovered reports whether the processes that are registered in the table
	// have been read.
	PeersDiscovered func() bool
}

// Executor runs the sidecar role of one process.
type Executor struct {
	settings Settings
	deps     Dependencies
	meters   *meters
	loop     *serial.Loop
	core     *execution.Core
	// classSum is the load that the entries have told. Only the loop accesses it.
	classSum *classload.Sum
	listener *link.Listener

	starts        chan startCall
	stops         chan execution.Stop
	listRequested chan struct{}

	// mu guards the fields up to lastReport. instanceID is the identity of the
	// minion that orders are meant for; empty when it is not known.
	mu         sync.Mutex
	clock      execution.LeaseClock
	instanceID string
	sessions   map[string]*conn
	// dismissed are the entries whose sessions are surplus.
	dismissed map[string]bool
	// lastReport is the minion's last report.
	lastReport Report

	// nextResourceLog is when the next log line about the minion's resources is
	// due. Only the loop accesses it.
	nextResourceLog time.Time
}

// New returns an executor whose listener is open. Run starts it.
func New(settings Settings, deps Dependencies) (*Executor, error) {
	e := &Executor{
		settings:      settings,
		deps:          deps,
		meters:        newMeters(deps.Scope),
		core:          execution.New(time.Now().UnixMilli()),
		classSum:      classload.NewSum(),
		starts:        make(chan startCall, orderQueueSize),
		stops:         make(chan execution.Stop, orderQueueSize),
		listRequested: make(chan struct{}, 1),
		sessions:      make(map[string]*conn),
	}
	if settings.RunTimeEstimates {
		e.core.ReportRunTimes()
	}
	if settings.SeparateInterference {
		e.core.MeasureInterference()
	}
	e.loop = serial.New(loopQueueSize, tickInterval, e.tick, e.applyActions)
	listener, err := deps.Listen(settings.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	e.listener = link.New(listener, settings.Secret, serviceName, e.accept, e.acceptFailed)
	return e, nil
}

// Run serves until ctx ends and then drains: queued tasks are returned to their
// entries, and running tasks may finish within Settings.Drain.
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

// drainPoll is the interval at which a drain checks whether all runs have ended.
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
		e.loop.Do(func(time.Time) { idle = e.core.Idle() && e.core.AllAcknowledged() })
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

// tick handles timeouts.
func (e *Executor) tick(now time.Time) {
	if e.leasesExpired() {
		e.core.LeaseLapsed(now)
	}
	e.core.Tick(now)
}

// applyActions carries out the actions that the core has requested and logs its
// decisions.
func (e *Executor) applyActions(now time.Time) {
	for _, action := range e.core.TakeActions() {
		switch action := action.(type) {
		case execution.Start:
			e.enqueueStart(now, action)
		case execution.Stop:
			select {
			case e.stops <- action:
			default:
				// The core repeats the stop if the run is not listed as ended.
				e.meters.orderQueueFull.Inc(1)
			}
		case execution.Poll:
			e.requestListing()
		case execution.NotifyEntry:
			e.wakePoll(action)
		}
	}
	e.logDecisions()
}

func (e *Executor) enqueueStart(now time.Time, start execution.Start) {
	select {
	case e.starts <- startCall{start, e.grantLease()}:
	default:
		// The order was not sent, so the minion can't have started the run.
		e.meters.orderQueueFull.Inc(1)
		e.core.StartAnswered(now, start, execution.StartRejected)
	}
}

func (e *Executor) requestListing() {
	select {
	case e.listRequested <- struct{}{}:
	default:
	}
}

// watchZones tells the core whether the sidecar's availability zone is evacuated.
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
