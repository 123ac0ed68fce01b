package executor

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/decision/execution"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/link"
)

// serviceName is the RPC service name of a sidecar.
const serviceName = session.SidecarService

const (
	// maxPollWait bounds how long a poll is held until there is something to send.
	maxPollWait = 2 * time.Second
	// stateInterval is the least time between two replies to all entries together
	// that are sent only because the state has changed. With more entries, each
	// of them gets such replies less often. An entry also gets the state with the
	// replies to its own orders and with the ends of its own runs.
	stateInterval = 8 * time.Millisecond
	// runTimesInterval is the least time between two replies with run times to one entry.
	runTimesInterval = 500 * time.Millisecond
	// interferenceInterval is the least time between two replies with evidence on
	// interference to one entry.
	interferenceInterval = 2 * time.Second
)

// conn serves the connection of one entry. net/rpc calls its exported methods,
// except Closed.
type conn struct {
	executor *Executor
	raw      net.Conn
	// events receives a value after an event for the entry, changes after a change
	// of the state.
	events  chan struct{}
	changes chan struct{}
	// sidecars is the number of sidecars that the entry knows.
	sidecars atomic.Int64

	mu        sync.Mutex
	entry     string
	closed    bool
	lastReply time.Time
	lastState session.State
	// nextRunTimes is when the run times are next sent to the entry.
	nextRunTimes time.Time
	// evidence tells when the evidence on interference is next sent to the entry.
	evidence evidencePace
	// sentNews is the number of the newest crash or poison task that was sent to the
	// entry. An entry of a build without them asks for all of them each time.
	sentNews uint64
	// sentVersion is the version of the directory that was last sent to the entry.
	sentVersion uint64
}

// acceptFailed logs that a connection from an entry could not be accepted.
func (e *Executor) acceptFailed(err error) {
	e.deps.Log.Routine(eventlog.KindDependencyLost).Str(eventlog.FieldDependency, "listener").Err(err).Msg("")
}

// accept returns the RPC service for a connection from an entry.
func (e *Executor) accept(raw net.Conn) link.Receiver {
	return &conn{executor: e, raw: raw, events: make(chan struct{}, 1), changes: make(chan struct{}, 1)}
}

// Closed implements link.Receiver.
func (c *conn) Closed() {
	entry := c.markClosed()
	if entry == "" {
		return
	}
	c.executor.dropSession(entry, c)
	c.executor.deps.Log.Failure(eventlog.KindSession).Str(eventlog.FieldPeer, entry).Str(eventlog.FieldOutcome, "closed").Msg("")
}

func (c *conn) markClosed() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return c.entry
}

// openEntry returns the name of the entry, or an error when the session is not
// open.
func (c *conn) openEntry() (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.entry == "" {
		return "", errNoSession
	}
	return c.entry, nil
}

// entryName returns the name of the entry; empty before Hello.
func (c *conn) entryName() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entry
}

// Hello opens the session. It ends an older session of the same entry, whose
// requests are rejected from then on.
func (c *conn) Hello(request *session.HelloRequest, reply *session.HelloReply) error {
	e := c.executor
	if request.Sidecar != e.settings.Self.Name {
		return errOtherSidecar
	}
	c.mu.Lock()
	c.entry = request.Entry.Name
	c.mu.Unlock()
	e.deps.Directory.Merge(request.Entry)
	e.replaceSession(request.Entry.Name, c)
	e.loop.Do(func(now time.Time) {
		e.core.Hello(now, execution.HelloParams{
			Entry: request.Entry.Name, Boot: request.Entry.Boot, Acked: e.receivedEvents(request),
			Claims: request.Claims, StoredEnds: e.endsOfEarlierProcesses(request), Minion: request.Minion, KeepsJobs: request.StoredJobsPossible,
		})
		reply.Stamp = session.StampOf(now)
	})
	reply.Sidecar = e.settings.Self
	e.deps.Log.Failure(eventlog.KindSession).Str(eventlog.FieldPeer, request.Entry.Name).
		Str(eventlog.FieldOutcome, "open").Int(eventlog.FieldCount, len(request.Claims)).Msg("")
	return nil
}

// receivedEvents returns which events of this incarnation of the sidecar the
// entry has received and acknowledged.
func (e *Executor) receivedEvents(request *session.HelloRequest) execution.Acks {
	if request.Boot != e.settings.Self.Boot {
		return execution.Acks{}
	}
	return execution.Acks{Received: request.After, Processed: request.AckedUpTo, Unstored: request.Unstored}
}

// endsOfEarlierProcesses returns the ends that the entry has stored and was told by earlier
// processes of the sidecar. Those that this process has told are acknowledged by number.
func (e *Executor) endsOfEarlierProcesses(request *session.HelloRequest) []session.TaskEnd {
	if request.Boot == e.settings.Self.Boot {
		return nil
	}
	return request.StoredEnds
}

// Start handles an entry's request to run tasks.
func (c *conn) Start(request *session.StartRequest, reply *session.StartReply) error {
	entry, err := c.openEntry()
	if err != nil {
		return err
	}
	e := c.executor
	e.loop.Do(func(now time.Time) {
		if _, err := c.openEntry(); err != nil {
			reply.Refusals = make([]session.Refusal, len(request.Tasks))
			for i := range reply.Refusals {
				reply.Refusals[i] = session.RefusedStale
			}
			return
		}
		reply.Refusals = e.core.Order(now, entry, request)
		reply.Queued = e.core.Queued(entry, request)
		reply.State = e.stateFor(entry, now)
	})
	e.logOrder(entry, request, reply)
	return nil
}

// Stop stops the runs that the entry has of a job.
func (c *conn) Stop(request *session.StopRequest, _ *session.StopReply) error {
	entry, err := c.openEntry()
	if err != nil {
		return err
	}
	e := c.executor
	e.loop.Do(func(now time.Time) {
		e.core.Echo(entry, request.Echo)
		e.core.StopJob(now, entry, request.Job, request.UpTo)
	})
	return nil
}

// Adopt returns the runs and ends of jobs whose owner is gone. It needs no
// session.
func (c *conn) Adopt(request *session.AdoptRequest, reply *session.AdoptReply) error {
	e := c.executor
	if request.Sidecar != e.settings.Self.Name {
		return errOtherSidecar
	}
	e.loop.Do(func(now time.Time) { *reply = e.core.Adopt(now, request) })
	return nil
}

// Manifest returns the sidecar's manifest if the entry's is older. It needs no session.
func (c *conn) Manifest(request *session.ManifestRequest, reply *session.ManifestReply) error {
	newest := c.executor.deps.Holder.Newest()
	if newest.ManifestVersion() <= request.Known {
		return nil
	}
	reply.Manifest = newest.Manifest
	c.executor.meters.manifests.CountSent()
	return nil
}
