package dispatcher

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/figring/figring/common/boottime"
	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/common/serial"
	"github.com/figring/figring/decision/heldjob"
	"github.com/figring/figring/jobstore"
	"github.com/figring/figring/manifest"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/directory"
	"github.com/figring/figring/session/link"
)

const (
	// loopQueueSize is the number of steps that wait for the loop.
	loopQueueSize = 4096
	// tickInterval is how often the loop looks at what is due by time alone.
	tickInterval = 25 * time.Millisecond
)

// Settings of a dispatcher.
type Settings struct {
	Self session.Peer
	// Listen is the address of the RPC listener.
	Listen string
	Secret string
	// SidecarsPerEntry is the number of sidecars that each entry should have
	// sessions with.
	SidecarsPerEntry int
	// PartitionWritesPerSecond is the number of transactions a second that the table takes for
	// one partition.
	PartitionWritesPerSecond int
}

// Dependencies are what a dispatcher is built from.
type Dependencies struct {
	Holder    *manifest.Holder
	Directory *directory.Directory
	Log       *eventlog.Log
	Scope     tally.Scope
	// Jobs and Owners keep accepted jobs.
	Jobs   *jobstore.Store
	Owners *jobstore.Owners
	// DiscoverPeers adds all processes that the table knows to Directory.
	DiscoverPeers func(ctx context.Context) error
	// StoreUnavailable reports whether the platform's table is known to be away.
	StoreUnavailable func() bool
}

// Dispatcher is a running entry.
type Dispatcher struct {
	settings Settings
	deps     Dependencies
	meters   *meters
	loop     *serial.Loop
	core     *heldjob.Core
	listener *link.Listener

	leaving atomic.Bool
	// releasing is true once nothing more of the stored jobs is started.
	releasing atomic.Bool
	targets   atomic.Int64
	// sidecars is the number of sidecars that are known.
	sidecars   atomic.Int64
	lastWaiter atomic.Uint64

	// answers are the open requests by the number of their waiter. The loop
	// alone uses it.
	answers map[uint64]chan heldjob.Reply

	// tasksCtx ends with Run; background are the duties that outlive a request.
	tasksCtx    context.Context
	cancelTasks context.CancelFunc
	background  sync.WaitGroup

	links      *links
	storedJobs *storedJobs
}

// New opens the listener of a dispatcher.
func New(settings Settings, deps Dependencies) (*Dispatcher, error) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	d := &Dispatcher{
		settings: settings,
		deps:     deps,
		meters:   newMeters(deps.Scope),
		core:     heldjob.New(settings.Self.Zone, random, boottime.Now()),
		answers:  make(map[uint64]chan heldjob.Reply),
		links:    newLinks(),
	}
	d.loop = serial.New(loopQueueSize, tickInterval, d.core.Tick, d.applyActions)
	listener, err := link.Listen(settings.Listen, settings.Secret, session.EntryService, d.accept)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d.listener = listener
	d.tasksCtx, d.cancelTasks = context.WithCancel(context.Background())
	d.storedJobs = newStoredJobs(d, deps.Jobs, deps.Owners)
	return d, nil
}

// Run serves until ctx ends. Whoever wants open jobs to be answered waits for
// them before that.
func (d *Dispatcher) Run(ctx context.Context) error {
	group, working := errgroup.WithContext(ctx)
	group.Go(func() error { d.loop.Run(working); return nil })
	group.Go(d.listener.Serve)
	group.Go(func() error { d.watchManifest(working); return nil })
	group.Go(func() error { d.maintainLinks(working); return nil })
	group.Go(func() error { d.announce(working); return nil })
	group.Go(func() error { d.storedJobs.run(working); return nil })
	<-working.Done()
	d.cancelTasks()
	d.background.Wait()
	d.listener.Close()
	return group.Wait()
}

// Leave makes the dispatcher tell callers to use other connections, and its
// balancer to send no new ones.
func (d *Dispatcher) Leave() {
	d.leaving.Store(true)
	d.deps.Log.Failure(eventlog.KindStop).Str(eventlog.FieldReason, "drain").Msg("")
}

// Ready reports whether new callers should come.
func (d *Dispatcher) Ready() bool {
	return !d.leaving.Load() && d.deps.Holder.Newest().Manifest != nil && d.targets.Load() > 0
}

// Open returns the number of jobs without an answer.
func (d *Dispatcher) Open() int {
	open := 0
	d.loop.Do(func(time.Time) { open = d.core.ActiveJobs() })
	return open
}

// GiveUpAll answers all open jobs: the process is about to end.
func (d *Dispatcher) GiveUpAll() {
	d.loop.Do(func(time.Time) { d.core.GiveUpAll(heldjob.ReasonDraining) })
}

func (d *Dispatcher) watchManifest(ctx context.Context) {
	snapshots := d.deps.Holder.Watch()
	for {
		select {
		case snapshot := <-snapshots:
			d.loop.Do(func(time.Time) { d.core.SetSnapshot(snapshot) })
			d.updateManifestVersion(snapshot)
		case <-ctx.Done():
			return
		}
	}
}

func (d *Dispatcher) updateManifestVersion(snapshot manifest.Snapshot) {
	if snapshot.Manifest != nil {
		d.meters.manifest.Update(float64(snapshot.Manifest.Version))
	}
}

// applyActions does what the core asked for.
func (d *Dispatcher) applyActions(now time.Time) {
	for actions := d.core.TakeActions(); len(actions) > 0; actions = d.core.TakeActions() {
		for _, action := range actions {
			d.applyAction(now, action)
		}
	}
	d.core.SetStoreUnavailable(d.deps.StoreUnavailable())
	targets := d.core.Targets()
	d.targets.Store(int64(targets))
	d.meters.targets.Update(float64(targets))
	d.logDecisions()
}

func (d *Dispatcher) applyAction(now time.Time, action heldjob.Action) {
	switch action := action.(type) {
	case heldjob.Reply:
		d.answer(action)
	case heldjob.StartTasks:
		d.enqueue(action.Sidecar, &action.Request)
	case heldjob.StopJob:
		d.enqueue(action.Sidecar, &session.StopRequest{Job: action.Job})
	case heldjob.CreateJob:
		d.storedJobs.create(now, action)
	case heldjob.AbandonCreate:
		d.storedJobs.abandon(action.Job)
	case heldjob.SaveJob:
		d.storedJobs.save(action)
	case heldjob.EndJob:
		d.storedJobs.end(action)
	}
}

func (d *Dispatcher) answer(reply heldjob.Reply) {
	replies, ok := d.answers[reply.Waiter]
	if !ok {
		return
	}
	delete(d.answers, reply.Waiter)
	replies <- reply
}

// accept serves a connection of a process that announces itself.
func (d *Dispatcher) accept(net.Conn) link.Receiver { return &service{dispatcher: d} }
