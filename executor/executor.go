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
	// loopRing is the number of steps that wait for the loop.
	loopRing = 1024
	// tickInterval is how often the loop looks at what is due by time alone.
	tickInterval = 25 * time.Millisecond
	// callRing is the number of calls that wait for a caller.
	callRing = 2048
	// callers is the number of calls to the minion at one time.
	callers = 24
	// urgentLookers is the number of looks beside the looker's own.
	urgentLookers = 2
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
	mu       sync.Mutex
	clock    execution.LeaseClock
	instance string
	sessions map[string]*conn
	// dismissed are the entries whose sessions are too many.
	dismissed map[string]bool
	// lastReport is what the minion said of itself last.
	lastReport Report

	// nextRoomLine is when the next line on the room is due. The loop alone
	// uses it.
	nextRoomLine time.Time
}

// New opens the listener of an executor.
func New(settings Settings, deps Dependencies) (*Executor, error) {
	made := &Executor{
		settings: settings,
		deps:     deps,
		meters:   newMeters(deps.Scope),
		core:     execution.New(time.Now().UnixMilli()),
		starts:   make(chan startCall, callRing),
		stops:    make(chan execution.Stop, callRing),
		urgent:   make(chan struct{}, 1),
		sessions: make(map[string]*conn),
	}
	made.loop = serial.New(loopRing, tickInterval, made.tick, made.carryOut)
	listener, err := link.Listen(settings.Listen, settings.Secret, serviceName, made.accept)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	made.listener = listener
	return made, nil
}

// Run serves until ctx ends and then drains: what waits is handed back, what
// runs is finished, for Settings.Drain at most.
func (e *Executor) Run(ctx context.Context) error {
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, working := errgroup.WithContext(working)
	group.Go(func() error { e.loop.Run(working); return nil })
	group.Go(e.listener.Serve)
	group.Go(func() error { e.look(working); return nil })
	for range urgentLookers {
		group.Go(func() error { e.lookUrgently(working); return nil })
	}
	group.Go(func() error { e.announce(working); return nil })
	group.Go(func() error { e.followZones(working); return nil })
	for range callers {
		group.Go(func() error { e.call(working); return nil })
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
	if e.leasesLapsed() {
		e.core.LeaseLapsed(now)
	}
	e.core.Tick(now)
}

// carryOut does what the core asked for.
func (e *Executor) carryOut(now time.Time) {
	for _, action := range e.core.Take() {
		switch action := action.(type) {
		case execution.Start:
			e.handOver(now, action)
		case execution.Stop:
			select {
			case e.stops <- action:
			default:
				// The core asks again when the run is not listed as ended.
				e.meters.callRingFull.Inc(1)
			}
		case execution.Look:
			e.lookSoon()
		case execution.Wake:
			e.wake(action)
		}
	}
	e.note()
}

func (e *Executor) handOver(now time.Time, start execution.Start) {
	select {
	case e.starts <- startCall{start, e.giveLease()}:
	default:
		// The order was not sent, so nothing was done.
		e.meters.callRingFull.Inc(1)
		e.core.StartAnswered(now, start, execution.StartRejected)
	}
}

func (e *Executor) lookSoon() {
	select {
	case e.urgent <- struct{}{}:
	default:
	}
}

// followZones tells the core whether its availability zone is taken out.
func (e *Executor) followZones(ctx context.Context) {
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
	return e.instance
}

func (e *Executor) setMinionID(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.instance = id
}
