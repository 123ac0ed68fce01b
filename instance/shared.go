package instance

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/common/pause"
	"github.com/figring/figring/connguard"
	"github.com/figring/figring/manifest"
	"github.com/figring/figring/platform/front"
	"github.com/figring/figring/platform/rows"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/directory"
	"github.com/figring/figring/settings"
)

// shared contains the components that entries and sidecars both need.
type shared struct {
	options          Options
	self             session.Peer
	log              *eventlog.Log
	metrics          *metrics.Root
	holder           *manifest.Holder
	directory        *directory.Directory
	table            *rows.Client
	status           net.Listener
	statusPages      *http.ServeMux
	guard            *connguard.Guard
	bodyLimit        bodyLimit
	storeUnavailable atomic.Bool
	// peersDiscovered is true once the process has read which processes are registered.
	peersDiscovered atomic.Bool
	// storeReadAt is when the table was last read, and snapshotAt when the current
	// manifest snapshot was applied, both in Unix nanoseconds. 0 means never.
	storeReadAt, snapshotAt atomic.Int64
}

const (
	// gcPercent is the heap growth in percent that triggers a garbage
	// collection. The heap is small, so a collection is cheap.
	gcPercent = 60
	// memoryLimit is the soft memory limit of the Go runtime in bytes. Above it, the
	// garbage collector runs more often.
	memoryLimit = 64 << 20
)

func newShared(options Options, role session.Role, loaded *settings.InstanceSettings) (*shared, error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	created := &shared{
		options: options,
		self: session.Peer{
			Name: loaded.Name, Role: role, Zone: loaded.Zone,
			Address: loaded.RPCAdvertise, Boot: session.NewBoot(),
		},
		log:       eventlog.New(options.Out, loaded.Name),
		metrics:   metrics.NewRoot(),
		holder:    &manifest.Holder{},
		directory: directory.New(),
		table:     rows.NewClient(loaded.Table),
	}
	limits := loaded.Limits()
	created.bodyLimit.budget = limits.Bytes
	created.guard = newGuard(limits, created.holder, created.log, created.metrics.Scope)
	status, err := created.guard.ListenHTTP(loaded.StatusListen, "status", true)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	created.status = status
	created.statusPages = http.NewServeMux()
	created.statusPages.Handle("/metrics", created.guard.Buffered(created.metrics.Handler))
	if loaded.Log == settings.LogFailures {
		created.log.FailuresOnly()
	}
	created.holder.OnAdopt = created.logSnapshot
	created.addSeeds(loaded)
	created.log.Failure(eventlog.KindStart).Str("boot", created.self.Boot).Str("address", created.self.Address).Msg("")
	return created, nil
}

// addSeeds adds the seed addresses to the directory as entries whose name and
// incarnation are unknown. The process that answers at the address sends its name.
func (s *shared) addSeeds(loaded *settings.InstanceSettings) {
	for i, address := range loaded.SeedRPCAddresses() {
		s.directory.AddSeed("seed-"+strconv.Itoa(i), address)
	}
}

// run starts the goroutines that every process has in addition to its role.
func (s *shared) run(ctx context.Context, group *errgroup.Group) {
	watcher := rows.NewWatcher(s.table, s.takeSnapshot, s.recordTableRead)
	group.Go(func() error { watcher.Run(ctx); return nil })
	group.Go(func() error { s.join(ctx); return nil })
	group.Go(func() error { reloadOnHangup(ctx, s.options, s.log); return nil })
	group.Go(func() error { s.reportAges(ctx); return nil })
	server := newServer(s.statusPages)
	server.WriteTimeout = writeTimeout
	serve(ctx, group, s.status, server)
	group.Go(func() error { s.guard.Run(ctx); return nil })
}

func (s *shared) takeSnapshot(snapshot manifest.Snapshot) {
	s.holder.Offer(manifest.SourceTable, snapshot)
}

// logSnapshot logs that the process has adopted a snapshot.
func (s *shared) logSnapshot(source string, snapshot manifest.Snapshot) {
	s.snapshotAt.Store(time.Now().UnixNano())
	line := s.log.Failure(eventlog.KindManifest).Str(eventlog.FieldSource, source).Int64(eventlog.FieldVersion, snapshot.Version)
	if snapshot.Manifest != nil {
		line = line.Int64(eventlog.FieldManifest, snapshot.Manifest.Version)
	}
	line.Strs(eventlog.FieldEvacuatedZones, snapshot.EvacuatedZones).Msg("")
	if s.self.Role == session.RoleEntry && s.bodyLimit.newlyExceeded(front.BodyLimit(&snapshot)) {
		s.log.Failure(eventlog.KindBodyLimitTooLarge).Int64(eventlog.FieldLimit, front.BodyLimit(&snapshot)).Int64(eventlog.FieldBudget, s.bodyLimit.budget).Msg("")
	}
}

// recordTableRead counts a read of the table by its result, and logs when the table
// becomes unavailable and when it is available again.
func (s *shared) recordTableRead(err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	} else {
		s.storeReadAt.Store(time.Now().UnixNano())
	}
	s.metrics.Scope.Tagged(map[string]string{metrics.TagStatus: outcome}).Counter(metrics.StoreReads).Inc(1)
	if s.storeUnavailable.Swap(err != nil) == (err != nil) {
		return
	}
	if err != nil {
		s.log.Failure(eventlog.KindDependencyLost).Str(eventlog.FieldDependency, "table").Err(err).Msg("")
		return
	}
	s.log.Failure(eventlog.KindDependencyRegained).Str(eventlog.FieldDependency, "table").Msg("")
}

// ageInterval is the interval at which reportAges updates the gauges.
const ageInterval = time.Second

// reportAges reports the time since the last read of the table and since the current
// manifest snapshot was applied. Neither age is reported before its first event.
func (s *shared) reportAges(ctx context.Context) {
	ages := map[string]*atomic.Int64{metrics.StoreAge: &s.storeReadAt, metrics.ManifestAge: &s.snapshotAt}
	for ctx.Err() == nil {
		for name, at := range ages {
			if since := at.Load(); since != 0 {
				s.metrics.Scope.Gauge(name).Update(time.Since(time.Unix(0, since)).Seconds())
			}
		}
		// The loop condition handles the end of ctx.
		_ = pause.For(ctx, ageInterval)
	}
}

const (
	// announceTimeout bounds one attempt to write the process's own row.
	announceTimeout = 1500 * time.Millisecond
	// discoverTimeout bounds one attempt to read all rows, which ends sooner when the
	// table is silent.
	discoverTimeout = 15 * time.Second
	// joinPause is the pause between attempts.
	joinPause = 250 * time.Millisecond
	// updateDelay is the shortest time after which a restarted process updates its row,
	// and updateSpread the range of a random time that is added.
	updateDelay  = 2 * time.Second
	updateSpread = 5 * time.Second
)

// rereadIntervals are the times between the reads of a process that is new.
var rereadIntervals = []time.Duration{time.Second, 3 * time.Second, 5 * time.Second}

// join discovers the process's peers in the table and announces the process there. After
// a power loss, the rows of all processes are still in the table: they are enough to find
// each other, so that a process whose own row differs only in its incarnation updates it
// later. Together the updates of a whole fleet would take seconds.
func (s *shared) join(ctx context.Context) {
	members := rows.NewMembers(s.table)
	registered := false
	s.retry(ctx, discoverTimeout, func(ctx context.Context) error {
		peers, err := members.List(ctx)
		registered = slices.ContainsFunc(peers, s.isEarlierSelf)
		s.addPeers(peers, registered)
		return err
	})
	if registered {
		// retry handles the end of ctx.
		_ = pause.For(ctx, updateDelay+rand.N(updateSpread))
	}
	s.retry(ctx, announceTimeout, func(ctx context.Context) error { return members.Announce(ctx, s.self) })
	if !registered {
		s.discoverJoining(ctx)
	}
}

// discoverJoining reads the table after the process has announced itself for the first
// time, and again some seconds later. Processes that start together register within
// seconds of each other, and an entry that knows too few sidecars gets no work.
func (s *shared) discoverJoining(ctx context.Context) {
	s.retry(ctx, discoverTimeout, s.discoverPeers)
	for _, interval := range rereadIntervals {
		// retry handles the end of ctx.
		_ = pause.For(ctx, interval)
		s.retry(ctx, discoverTimeout, s.discoverPeers)
	}
}

// isEarlierSelf reports whether the peer is an earlier incarnation of this process.
func (s *shared) isEarlierSelf(peer session.Peer) bool {
	peer.Boot = s.self.Boot
	return peer == s.self
}

// discoverPeers adds all processes that have announced themselves in the table to the
// directory.
func (s *shared) discoverPeers(ctx context.Context) error {
	peers, err := rows.NewMembers(s.table).List(ctx)
	s.addPeers(peers, err == nil)
	return err
}

// addPeers adds peers to the directory. complete means that they are all processes of
// which this one need know.
func (s *shared) addPeers(peers []session.Peer, complete bool) {
	if complete {
		// Whoever is woken by the change of the directory then finds that it is complete.
		s.peersDiscovered.Store(true)
	}
	s.directory.Merge(peers...)
}

// retry calls try, each time with the timeout, until it succeeds or ctx ends.
func (s *shared) retry(ctx context.Context, timeout time.Duration, try func(context.Context) error) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, timeout)
		err := try(limited)
		cancel()
		if err == nil {
			return
		}
		s.log.Routine(eventlog.KindDependencyLost).Str(eventlog.FieldDependency, "members").Err(err).Msg("")
		// The loop condition handles the end of ctx.
		_ = pause.For(ctx, joinPause)
	}
}

// serve serves HTTP until ctx ends.
func serve(ctx context.Context, group *errgroup.Group, listener net.Listener, server *http.Server) {
	group.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return Error.Wrap(err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return Error.Wrap(server.Close())
	})
}

const (
	// headerTimeout bounds the time for reading the headers of a request.
	headerTimeout = 3 * time.Second
	// idleTimeout is how long a connection without requests stays open.
	idleTimeout = 60 * time.Second
)

func (s *shared) close() {
	s.log.Failure(eventlog.KindStop).Str(eventlog.FieldReason, "ended").Msg("")
	s.table.Close()
	_ = s.metrics.Close()
	_ = s.log.Close()
}
