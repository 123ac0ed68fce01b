package instance

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/figring/figring/connguard"
	"github.com/figring/figring/dispatcher"
	"github.com/figring/figring/jobstore"
	"github.com/figring/figring/platform/front"
	"github.com/figring/figring/session"
	"github.com/figring/figring/settings"
	"github.com/figring/figring/store"
	"github.com/figring/figring/where"
)

const (
	// readyPath is the path of the load balancer's readiness check. The load balancer
	// sends new callers only to entries that are ready.
	readyPath = front.ReadyPath
	// balancerDelay is how long the load balancer takes to notice that the entry is
	// not ready: two readiness checks, which it sends once a second.
	balancerDelay = 2200 * time.Millisecond
	// drainPoll is the interval at which a drain checks whether jobs are still open.
	drainPoll = 25 * time.Millisecond
)

// Names of the tables for stored jobs and for the entries that own stored jobs.
const (
	jobsTable   = "jobs"
	ownersTable = "owners"
)

func partitionName(number int) string { return "p" + strconv.Itoa(number) }

// RunDispatcher runs an entry until ctx ends, and then drains it.
func RunDispatcher(ctx context.Context, options Options, loaded settings.DispatcherSettings) error {
	common, err := newShared(options, session.RoleEntry, &loaded.InstanceSettings)
	if err != nil {
		return err
	}
	defer common.close()
	role, err := newDispatcher(common, &loaded)
	if err != nil {
		return err
	}
	callers, err := common.guard.ListenHTTP(loaded.CallersListen, "callers", false)
	if err != nil {
		return Error.Wrap(err)
	}
	ready, err := common.guard.ListenHTTP(loaded.ReadyListen, "ready", true)
	if err != nil {
		return Error.Wrap(err)
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	common.statusPages.Handle("POST "+where.Path, connguard.Handler(where.NewHandler(role)))
	common.run(serving, group)
	readiness := newServer(readyHandler(role))
	readiness.WriteTimeout = writeTimeout
	serve(serving, group, ready, readiness)
	group.Go(func() error { return role.Run(serving) })
	server := serveCallers(group, callers, role)
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			drainDispatcher(role, server, loaded.StopGrace.Std()-stopMargin)
		case <-serving.Done():
		}
		return Error.Wrap(server.Close())
	})
	return group.Wait()
}

// newDispatcher creates the dispatcher from its settings and the shared components.
func newDispatcher(common *shared, loaded *settings.DispatcherSettings) (*dispatcher.Dispatcher, error) {
	return dispatcher.New(dispatcher.Settings{
		Self:                     common.self,
		Listen:                   loaded.RPCListen,
		Secret:                   loaded.Secret,
		SidecarsPerEntry:         loaded.SidecarsPerEntry,
		PartitionWritesPerSecond: loaded.PartitionWritesPerSecond,
		RowBytes:                 loaded.RowBytes,
		RunTimeEstimates:         loaded.RunTimeEstimates,
		SeparateInterference:     loaded.SeparateInterference,
		ClassScheduling:          loaded.ClassScheduling,
		JobBytes:                 loaded.JobBytes(),
	}, dispatcher.Dependencies{
		Holder:           common.holder,
		Directory:        common.directory,
		Log:              common.log,
		Scope:            common.metrics.Scope,
		Listen:           common.guard.ListenRPC,
		Jobs:             jobstore.New(func(partition int) store.Table { return common.table.Part(jobsTable, partitionName(partition)) }),
		Owners:           jobstore.NewOwnerTable(common.table.Part(ownersTable, "")),
		DiscoverPeers:    common.discoverPeers,
		PeersDiscovered:  common.peersDiscovered.Load,
		StoreUnavailable: common.storeUnavailable.Load,
	})
}

// serveCallers serves the HTTP interface for callers until the server is closed.
func serveCallers(group *errgroup.Group, listener net.Listener, role *dispatcher.Dispatcher) *http.Server {
	server := newServer(connguard.Handler(front.NewHandler(role)))
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return Error.Wrap(err)
		}
		return nil
	})
	return server
}

// readyHandler returns the handler of the load balancer's readiness check.
func readyHandler(role *dispatcher.Dispatcher) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+readyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !role.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// drainDispatcher keeps serving until the load balancer has noticed that the entry is
// not ready, and then waits for the open jobs for the rest of the grace period.
func drainDispatcher(role *dispatcher.Dispatcher, server *http.Server, grace time.Duration) {
	ends := time.Now().Add(grace)
	role.Leave()
	time.Sleep(min(balancerDelay, grace/2))
	role.StopOwning()
	for role.Open() > 0 && time.Now().Before(ends) {
		time.Sleep(drainPoll)
	}
	role.GiveUpAll()
	limited, cancel := context.WithTimeout(context.Background(), stopMargin/2)
	defer cancel()
	// A slow table must not take the time in which the last requests are answered.
	released := make(chan struct{})
	go func() {
		defer close(released)
		role.Release(limited)
	}()
	// Connections that are still open at the timeout are dropped when the process
	// exits.
	_ = server.Shutdown(limited)
	<-released
}
