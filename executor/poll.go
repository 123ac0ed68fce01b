package executor

import (
	"time"

	"github.com/figring/figring/common/boottime"
	"github.com/figring/figring/decision/execution"
	"github.com/figring/figring/session"
)

// Poll replies as soon as there are events after request.After. A changed state
// causes a reply too, limited in rate by stateInterval. Otherwise Poll replies when
// request.Wait is over.
func (c *conn) Poll(request *session.PollRequest, reply *session.PollReply) error {
	entry, err := c.openEntry()
	if err != nil {
		return err
	}
	c.applyRequest(request)
	deadline := boottime.Now().Add(min(request.Wait, maxPollWait))
	known := false
	acks := execution.Acks{Received: request.After, Processed: request.AckedUpTo, Unstored: request.Unstored}
	c.executor.loop.Do(func(now time.Time) {
		c.executor.core.Echo(entry, request.Echo)
		c.executor.core.Acknowledge(now, entry, acks)
		if request.ClassLoad != nil {
			c.executor.classSum.Record(now, entry, request.ClassLoad)
		}
		known = c.executor.core.HasSession(entry)
	})
	if !known {
		// The sidecar has not received a message from the entry for too long. The
		// entry has to open a new session, so that both sides agree on the runs.
		return errNoSession
	}
	for {
		if c.tryReply(entry, request, reply, deadline) {
			return nil
		}
		if _, err := c.openEntry(); err != nil {
			return err
		}
	}
}

func (c *conn) applyRequest(request *session.PollRequest) {
	c.sidecars.Store(int64(request.Sidecars))
	if request.Snapshot != nil {
		c.executor.deps.Holder.Offer(c.entryName(), *request.Snapshot)
	}
	if request.Zones != nil {
		c.executor.deps.Holder.OfferZones(c.entryName(), *request.Zones)
	}
	if len(request.Poison) > 0 {
		c.executor.loop.Do(func(now time.Time) { c.executor.core.RecordPoison(now, request.Poison) })
	}
}

// tryReply fills the reply and returns true if it is to be sent now. Otherwise it
// waits until there may be something new, and returns false.
func (c *conn) tryReply(entry string, request *session.PollRequest, reply *session.PollReply, deadline time.Time) bool {
	e := c.executor
	var now time.Time
	orphans := false
	e.loop.Do(func(at time.Time) {
		now = at
		orphans = e.core.HasOrphans()
		reply.Events = e.core.EventsFor(entry)
		reply.Crashes = e.core.CrashesAfter(at, request.NewsAfter)
		reply.Poison = e.core.PoisonAfter(at, request.NewsAfter)
		reply.State = e.stateFor(entry, at)
		if request.ClassLoad != nil {
			reply.ClassLoad = e.classSum.Total(at)
		}
	})
	if now.IsZero() {
		return true
	}
	stateDue := c.lastReply.Add(time.Duration(e.sessionCount()) * stateInterval)
	changed := c.stateChanged(&reply.State) && !now.Before(stateDue)
	news := reply.NewestNews()
	if len(reply.Events) > 0 || news > c.sentNews || changed || !now.Before(deadline) {
		c.lastReply = now
		c.lastState = reply.State
		c.sentNews = max(c.sentNews, news)
		reply.Stamp = session.StampOf(now)
		e.fillConfiguration(request, reply)
		reply.Entries = c.changedEntries()
		c.addRunTimes(now, &reply.State)
		c.addInterference(now, &reply.State)
		if orphans {
			e.loop.Do(func(at time.Time) { reply.SetOrphans(e.core.OrphansToQuery(at)) })
		}
		return true
	}
	c.wait(now, stateDue, deadline)
	return false
}

// addRunTimes adds the measured run times to a state that is sent, unless the entry has
// got them within runTimesInterval.
func (c *conn) addRunTimes(now time.Time, state *session.State) {
	if now.Before(c.nextRunTimes) {
		return
	}
	c.nextRunTimes = now.Add(runTimesInterval)
	c.executor.loop.Do(func(at time.Time) { state.RunTimes = c.executor.core.RunTimes(at) })
}

// addInterference adds the evidence on interference to a state that is sent, if it has
// changed, unless the entry has got it within interferenceInterval.
func (c *conn) addInterference(now time.Time, state *session.State) {
	if now.Before(c.evidence.next) {
		return
	}
	c.executor.loop.Do(func(at time.Time) {
		if c.evidence.due(now, c.executor.core.InterferenceChanges(at)) {
			state.Interference = c.executor.core.Interference(at)
		}
	})
}

// fillConfiguration sets the versions of the sidecar's configuration in the reply, and
// what the entry lacks of it.
func (e *Executor) fillConfiguration(request *session.PollRequest, reply *session.PollReply) {
	newest := e.deps.Holder.Newest()
	reply.SnapshotVersion = newest.Version
	reply.ManifestVersion = newest.ManifestVersion()
	reply.Zones = e.deps.Holder.ZonesFor(request.SnapshotVersion)
}

// changedEntries returns the entries that the sidecar has met, or met in a newer
// incarnation, since the last reply.
func (c *conn) changedEntries() []session.Peer {
	changed, version := c.executor.deps.Directory.ChangedSince(c.sentVersion, session.RoleEntry)
	c.sentVersion = version
	return changed
}

// stateChanged reports whether the state differs from the last one sent in a
// field that an entry bases decisions on.
func (c *conn) stateChanged(state *session.State) bool {
	last := &c.lastState
	return last.Accepting != state.Accepting || last.Suspect != state.Suspect || last.TrialDue != state.TrialDue ||
		last.Free != state.Free || last.Queued != state.Queued || last.Minion.Born != state.Minion.Born ||
		(last.StartPause > 0) != (state.StartPause > 0)
}

// wait waits for an event until the deadline. A changed state ends the wait only
// from stateDue on.
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
