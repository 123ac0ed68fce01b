package executor

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figring/figring/common/boottime"
	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/decision/execution"
	"github.com/figring/figring/session"
	"github.com/figring/figring/session/link"
)

// serviceName is the name under which entries call a sidecar.
const serviceName = session.SidecarService

const (
	// maxPollWait bounds how long a poll is held back.
	maxPollWait = 2 * time.Second
	// stateInterval is the least time between two replies that tell only of a
	// changed state, to all entries together. With many entries each hears less
	// often; the replies to its own orders and the ends of its own runs carry
	// the state too.
	stateInterval = 8 * time.Millisecond
)

// conn serves one entry's connection. Its exported methods are called by RPC.
type conn struct {
	executor *Executor
	raw      net.Conn
	// events and changes receive a value after an event for the entry, and
	// after a change of the state.
	events  chan struct{}
	changes chan struct{}
	// sidecars is the number of sidecars that the entry knows.
	sidecars atomic.Int64

	mu        sync.Mutex
	entry     string
	closed    bool
	lastReply time.Time
	lastState session.State
	// toldVersion is the version of the directory that the entry was told last.
	toldVersion uint64
}

func (e *Executor) accept(raw net.Conn) link.Receiver {
	return &conn{executor: e, raw: raw, events: make(chan struct{}, 1), changes: make(chan struct{}, 1)}
}

// Closed implements link.Receiver.
func (c *conn) Closed() {
	entry := c.end()
	if entry == "" {
		return
	}
	c.executor.dropSession(entry, c)
	c.executor.parts.Log.Failure(eventlog.KindSession).Str(eventlog.FieldPeer, entry).Str(eventlog.FieldOutcome, "closed").Msg("")
}

func (c *conn) end() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return c.entry
}

// current returns the entry of the session, if it is still open.
func (c *conn) current() (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.entry == "" {
		return "", errNoSession
	}
	return c.entry, nil
}

// Hello opens the session. Requests on older connections of the same entry are
// not served any more.
func (c *conn) Hello(request *session.HelloRequest, reply *session.HelloReply) error {
	e := c.executor
	if request.Sidecar != e.settings.Self.Name {
		return errOtherSidecar
	}
	c.mu.Lock()
	c.entry = request.Entry.Name
	c.mu.Unlock()
	e.parts.Directory.Merge(request.Entry)
	e.replaceSession(request.Entry.Name, c)
	e.loop.Do(func(now time.Time) {
		e.core.Hello(now, execution.HelloParams{
			Entry: request.Entry.Name, Boot: request.Entry.Boot, Acked: e.known(request),
			Claims: request.Claims, Minion: request.Minion, KeepsJobs: request.KeepsJobs,
		})
		reply.Stamp = session.StampOf(now)
	})
	reply.Sidecar = e.settings.Self
	e.parts.Log.Failure(eventlog.KindSession).Str(eventlog.FieldPeer, request.Entry.Name).
		Str(eventlog.FieldOutcome, "open").Int(eventlog.FieldCount, len(request.Claims)).Msg("")
	return nil
}

// known returns what the entry knows of this life's events.
func (e *Executor) known(request *session.HelloRequest) execution.Acks {
	if request.Boot != e.settings.Self.Boot {
		return execution.Acks{}
	}
	return execution.Acks{Received: request.After, Processed: request.Noted}
}

// Start takes orders.
func (c *conn) Start(request *session.StartRequest, reply *session.StartReply) error {
	entry, err := c.current()
	if err != nil {
		return err
	}
	e := c.executor
	e.loop.Do(func(now time.Time) {
		if _, err := c.current(); err != nil {
			reply.Refusals = make([]session.Refusal, len(request.Tasks))
			for i := range reply.Refusals {
				reply.Refusals[i] = session.RefusedStale
			}
			return
		}
		reply.Refusals = e.core.Order(now, entry, request)
		reply.State = e.stateFor(entry, now)
	})
	e.logOrder(entry, request, reply)
	return nil
}

// Stop ends what the entry has of a job.
func (c *conn) Stop(request *session.StopRequest, _ *session.StopReply) error {
	entry, err := c.current()
	if err != nil {
		return err
	}
	e := c.executor
	e.loop.Do(func(now time.Time) {
		e.core.Echo(entry, request.Echo)
		e.core.StopJob(now, entry, request.Job)
	})
	return nil
}

// Adopt tells what there is of jobs whose owner is gone. It needs no session.
func (c *conn) Adopt(request *session.AdoptRequest, reply *session.AdoptReply) error {
	e := c.executor
	if request.Sidecar != e.settings.Self.Name {
		return errOtherSidecar
	}
	e.loop.Do(func(now time.Time) { *reply = e.core.Adopt(now, request) })
	return nil
}

// Poll answers with the events after the last noted one as soon as there are
// any, with a changed state after a short while, and else after the wait.
func (c *conn) Poll(request *session.PollRequest, reply *session.PollReply) error {
	entry, err := c.current()
	if err != nil {
		return err
	}
	c.takeNews(request)
	deadline := boottime.Now().Add(min(request.Wait, maxPollWait))
	known := false
	c.executor.loop.Do(func(time.Time) {
		c.executor.core.Echo(entry, request.Echo)
		c.executor.core.Acknowledge(entry, execution.Acks{Received: request.After, Processed: request.Noted})
		known = c.executor.core.HasSession(entry)
	})
	if !known {
		// The entry was silent for too long. It has to open a new session, so
		// that both sides agree on what runs.
		return errNoSession
	}
	for {
		if c.answer(entry, request, reply, deadline) {
			return nil
		}
		if _, err := c.current(); err != nil {
			return err
		}
	}
}

func (c *conn) takeNews(request *session.PollRequest) {
	c.sidecars.Store(int64(request.Sidecars))
	if request.Snapshot != nil {
		c.executor.parts.Holder.Offer(*request.Snapshot)
	}
}

// answer fills the reply and reports true when it is time to send it; else it
// waits until there may be something new.
func (c *conn) answer(entry string, request *session.PollRequest, reply *session.PollReply, deadline time.Time) bool {
	e := c.executor
	var now time.Time
	orphans := false
	e.loop.Do(func(at time.Time) {
		now = at
		orphans = e.core.HasOrphans()
		reply.Events = e.core.EventsFor(entry)
		reply.State = e.stateFor(entry, at)
	})
	if now.IsZero() {
		return true
	}
	stateDue := c.lastReply.Add(time.Duration(e.sessionCount()) * stateInterval)
	changed := c.stateChanged(&reply.State) && !now.Before(stateDue)
	if len(reply.Events) > 0 || changed || !now.Before(deadline) {
		c.lastReply = now
		c.lastState = reply.State
		reply.Stamp = session.StampOf(now)
		reply.SnapshotVersion = e.parts.Holder.Newest().Version
		reply.Snapshot = e.parts.Holder.UpdateFor(request.SnapshotVersion)
		reply.Entries = c.newEntries()
		if orphans {
			e.loop.Do(func(at time.Time) { reply.Orphans = e.core.OrphansToQuery(at) })
		}
		return true
	}
	c.wait(now, stateDue, deadline)
	return false
}

// newEntries returns the known entries when they may have changed since the
// last reply, else nothing.
func (c *conn) newEntries() []session.Peer {
	directory := c.executor.parts.Directory
	version := directory.Version()
	if version == c.toldVersion {
		return nil
	}
	c.toldVersion = version
	return directory.Of(session.RoleEntry)
}

// stateChanged reports whether the state differs in what matters to an entry.
func (c *conn) stateChanged(state *session.State) bool {
	last := &c.lastState
	return last.Taking != state.Taking || last.Suspect != state.Suspect || last.TrialDue != state.TrialDue ||
		last.Free != state.Free || last.Queued != state.Queued || last.Minion.Born != state.Minion.Born
}

// wait waits for an event. A changed state ends the wait only when it is due to
// be told.
func (c *conn) wait(now, stateDue, deadline time.Time) {
	until, changes := deadline, c.changes
	if now.Before(stateDue) && stateDue.Before(deadline) {
		until, changes = stateDue, nil
	}
	timer := time.NewTimer(until.Sub(now))
	defer timer.Stop()
	select {
	case <-c.events:
	case <-changes:
	case <-timer.C:
	}
}
