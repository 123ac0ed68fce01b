package dispatcher

import (
	"context"
	"math"
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
	// loopQueueSize is the capacity of the loop's queue of steps.
	loopQueueSize = 4096
	// tickInterval is the interval at which the loop handles timeouts.
	tickInterval = 25 * time.Millisecond
)

// Settings of a dispatcher.
type Settings struct {
	Self session.Peer
	// Listen is the address of the RPC listener.
	Listen string
	Secret string
	// SidecarsPerEntry is the number of sidecars with which each entry should have
	// sessions.
	SidecarsPerEntry int
	// PartitionWritesPerSecond is the number of transactions per second that the
	// platform's table accepts for one partition.
	PartitionWritesPerSecond int
	// RowBytes is the maximum size of a row in the table service.
	RowBytes int
	// RunTimeEstimates makes placement allow for the run times and failures that sidecars
	// report.
	RunTimeEstimates bool
	// SeparateInterference makes placement keep kinds of tasks apart that slow each other
	// down.
	SeparateInterference bool
	// ClassScheduling makes the routes of a service share scarce capacity in the order
	// of their priorities.
	ClassScheduling bool
	// JobBytes is the memory in bytes that jobs may take.
	JobBytes int64
}

// Dependencies are the services and shared state that a dispatcher uses.
type Dependencies struct {
	Holder    *manifest.Holder
	Directory *directory.Directory
	Log       *eventlog.Log
	Scope     tally.Scope
	// Listen opens the RPC listener.
	Listen func(address string) (net.Listener, error)
	// Jobs and Owners store accepted jobs and the entries that own some.
	Jobs   *jobstore.Store
	Owners *jobstore.OwnerTable
	// DiscoverPeers adds all processes that are registered in the table to
	// Directory.
	DiscoverPeers func(ctx context.Context) error
	// PeersDiscovered reports whether the processes that are registered in the table
	// have been read. It becomes true before they are added to Directory.
	PeersDiscovered func() bool
	// StoreUnavailable reports whether the platform's table is known to be
	// unavailable.
	StoreUnavailable func() bool
}

// Dispatcher runs the entry role of one process.
type Dispatcher struct {
	settings Settings
	deps     Dependencies
	meters   *meters
	loop     *serial.Loop
	core     *heldjob.Core
	listener *link.Listener

	leaving atomic.Bool
	// releasing is true once the entry starts no more tasks of stored jobs.
	releasing atomic.Bool
	targets   atomic.Int64
	// settled is true once the entry has met its sidecars after its start.
	settled atomic.Bool
	// expectedSidecars is the number of sidecars that the entry should have sessions
	// with, or math.MaxInt64 until it has discovered its peers.
	expectedSidecars atomic.Int64
	// sidecars is the number of sidecars that are known.
	sidecars atomic.Int64
	// knownEntries is the number of entries that are known, this one included.
	knownEntries atomic.Int64
	lastWaiter   atomic.Uint64

	// answers has the reply channels of the open requests by their waiter numbers.
	// Only the loop accesses it.
	answers map[uint64]chan heldjob.Reply
	// nextRunTimeLog is when the run times are next logged. Only the loop accesses it.
	nextRunTimeLog time.Time

	// background are the tasks that outlive a request. tasksCtx is their context,
	// which ends with Run.
	tasksCtx    context.Context
	cancelTasks context.CancelFunc
	background  sync.WaitGroup

	links      *links
	manifests  *manifestFetcher
	storedJobs *storedJobs
	// pendingReads counts pending jobs in the job store.
	pendingReads pendingReads

	// nextClassReport is when the metrics of the classes are due. Only the loop accesses
	// it.
	nextClassReport time.Time
}

// New returns a dispatcher whose listener is open. Run starts it.
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
	if settings.RunTimeEstimates {
		d.core.EstimateRunTimes()
	}
	if settings.SeparateInterference {
		d.core.SeparateInterference()
	}
	d.core.SetClassScheduling(settings.ClassScheduling)
	d.core.SetJobMemory(settings.JobBytes)
	d.expectedSidecars.Store(math.MaxInt64)
	d.loop = serial.New(loopQueueSize, tickInterval, d.core.Tick, d.applyActions)
	listener, err := deps.Listen(settings.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d.listener = link.New(listener, settings.Secret, session.EntryService, d.accept, d.acceptFailed)
	d.tasksCtx, d.cancelTasks = context.WithCancel(context.Background())
	d.manifests = newManifestFetcher(d)
	d.storedJobs = newStoredJobs(d, deps.Jobs, deps.Owners)
	return d, nil
}

// Run serves until ctx ends. It does not wait for open jobs; to have them answered,
// the caller waits until Open returns 0 before it ends ctx.
func (d *Dispatcher) Run(ctx context.Context) error {
	group, working := errgroup.WithContext(ctx)
	group.Go(func() error { d.loop.Run(working); return nil })
	group.Go(d.listener.Serve)
	group.Go(func() error { d.watchManifest(working); return nil })
	group.Go(func() error { d.manifests.run(working); return nil })
	group.Go(func() error { d.maintainLinks(working); return nil })
	group.Go(func() error { d.announce(working); return nil })
	group.Go(func() error { d.storedJobs.run(working); return nil })
	<-working.Done()
	d.cancelTasks()
	d.listener.Close()
	err := group.Wait()
	d.background.Wait()
	return err
}

// Leave makes the dispatcher ask callers to switch to other connections, and
// makes Ready return false so that the load balancer sends no new ones.
func (d *Dispatcher) Leave() {
	d.leaving.Store(true)
	d.deps.Log.Failure(eventlog.KindStop).Str(eventlog.FieldReason, "drain").Msg("")
}

// Ready reports whether the load balancer should send callers to this entry. An entry
// that has just started is not ready until it has met its sidecars: before that, it would
// refuse or delay jobs for which other entries know of capacity.
func (d *Dispatcher) Ready() bool {
	return !d.leaving.Load() && d.deps.Holder.Newest().Manifest != nil && d.targets.Load() > 0 && d.settled.Load()
}

// Open returns the number of jobs without an answer, plus the number of stored
// jobs that have a task that may be running or a write in flight.
func (d *Dispatcher) Open() int {
	open := 0
	d.loop.Do(func(time.Time) { open = d.core.ActiveJobs() })
	return open
}

// GiveUpAll gives up all open jobs that are not stored, answers their callers, and makes
// the entry refuse all new jobs. It is called when the process is about to exit.
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

// applyActions carries out the actions that the core has requested and logs its
// decisions.
func (d *Dispatcher) applyActions(now time.Time) {
	for actions := d.core.TakeActions(); len(actions) > 0; actions = d.core.TakeActions() {
		for _, action := range actions {
			d.applyAction(now, action)
		}
	}
	d.core.SetStoreUnavailable(d.deps.StoreUnavailable())
	d.core.SetKnownSidecars(int(d.sidecars.Load()))
	d.core.SetKnownEntries(int(d.knownEntries.Load()))
	d.updateSettled(now)
	targets := d.core.Targets()
	d.targets.Store(int64(targets))
	d.meters.targets.Update(float64(targets))
	d.logDecisions()
	d.logRunTimes(now)
	d.meters.keptApart.Inc(int64(d.core.TakeKeptApart()))
	d.reportClasses(now)
}

// updateSettled sets settled once the core has settled. It must be called from the loop.
func (d *Dispatcher) updateSettled(now time.Time) {
	if d.settled.Load() {
		return
	}
	d.core.SetExpectedSidecars(int(d.expectedSidecars.Load()))
	d.settled.Store(!d.core.Settling(now))
}

func (d *Dispatcher) applyAction(now time.Time, action heldjob.Action) {
	switch action := action.(type) {
	case heldjob.Reply:
		d.answer(action)
	case heldjob.StartTasks:
		d.enqueue(action.Sidecar, &action.Request)
	case heldjob.StopJob:
		d.enqueue(action.Sidecar, &session.StopRequest{Job: action.Job, UpTo: action.UpTo})
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

// acceptFailed logs that a connection from another process could not be accepted.
func (d *Dispatcher) acceptFailed(err error) {
	d.deps.Log.Routine(eventlog.KindDependencyLost).Str(eventlog.FieldDependency, "listener").Err(err).Msg("")
}

// accept returns the RPC service for a connection from another process.
func (d *Dispatcher) accept(net.Conn) link.Receiver { return &service{dispatcher: d} }
