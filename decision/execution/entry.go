package execution

import (
	"maps"
	"slices"
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// entryState is the state kept for one entry.
type entryState struct {
	boot string
	// newestEcho is the newest stamp that the entry has echoed.
	newestEcho time.Time
	// silent is set when the entry's runs are stopped because it was not heard
	// from, and cleared when it opens a new session.
	silent        bool
	newestRequest uint64
	// stoppedJobs are the jobs that the entry has stopped lately.
	stoppedJobs map[work.JobID]stoppedJob

	events []session.Event

	// pendingClaims are the claims that wait for the first listing.
	pendingClaims []session.Claim
}

// Acks are the event numbers up to which an entry acknowledges events.
type Acks struct {
	// Received is the newest event that the entry has received.
	Received uint64
	// Processed is the newest event up to which nothing has to be kept for the
	// entry: what it has to store of these events is stored.
	Processed uint64
	// Unstored are those of the processed events that the entry has no use for and has
	// not stored.
	Unstored []uint64
}

// HelloParams are the parameters with which an entry opens a session.
type HelloParams struct {
	Entry, Boot string
	Acked       Acks
	Claims      []session.Claim
	// StoredEnds are ends that earlier processes of the sidecar have told the entry and that
	// the entry has stored.
	StoredEnds []session.TaskEnd
	// Minion is what the entry last knew about the sidecar's minion.
	Minion session.Minion
	// KeepsJobs means that there may be stored jobs in the system.
	KeepsJobs bool
}

// Hello opens a session of an entry. It stops the runs of an earlier process of
// the entry and the runs that the entry no longer claims.
func (c *Core) Hello(now time.Time, params HelloParams) {
	entry, boot, claims := params.Entry, params.Boot, params.Claims
	c.storedJobsReported = c.storedJobsReported || params.KeepsJobs
	c.noStoredJobsReported = c.noStoredJobsReported || !params.KeepsJobs
	state, ok := c.entries[entry]
	if !ok || state.boot != boot {
		c.withdrawAll(now, entry)
		c.dropEnds(now, entry)
		c.detachRuns(entry)
		state = &entryState{boot: boot}
		c.entries[entry] = state
	}
	state.newestEcho = now
	state.silent = false
	state.newestRequest = 0
	state.stoppedJobs = nil
	c.clearUnreceived(entry, params.Acked.Received)
	c.Acknowledge(now, entry, params.Acked)
	c.dropUnclaimed(now, entry, claims)
	c.confirmEnds(params.StoredEnds)
	c.adoptMinion(now, params.Minion)
	if !c.listingRead {
		state.pendingClaims = slices.DeleteFunc(slices.Clone(claims), func(claim session.Claim) bool { return c.hasEvent(entry, claim.Task) })
		return
	}
	c.resolveClaims(now, entry, claims)
}

// detachRuns removes the entry from the runs that its earlier process ordered.
// The present process does not know them, and their ends are kept for the entry
// that takes over their jobs.
func (c *Core) detachRuns(entry string) {
	for _, run := range c.runs {
		if run.entry == entry {
			run.entry = ""
		}
	}
}

// adoptMinion uses what an entry knows about the minion if the listing shows the
// same incarnation. This saves waiting for a heartbeat.
func (c *Core) adoptMinion(now time.Time, minion session.Minion) {
	if c.minionSeen || minion.ID == "" || c.listedIncarnation == 0 || minion.Born != c.listedIncarnation {
		return
	}
	c.minion = minion
	c.minionSeen = true
	c.reschedule(now)
}

// clearUnreceived unlinks orphaned ends from events that the entry has not
// received, since these were withdrawn before they reached it. Only ends that it
// has received may be acknowledged by event number.
func (c *Core) clearUnreceived(entry string, received uint64) {
	for o := range c.orphans.all() {
		if o.entry == entry && o.event > received {
			o.event = 0
		}
	}
}

// dropUnclaimed drops the events of tasks that the entry has given up. It may
// order these tasks again and would mistake the end of the former run for that
// of the new one. Ends that another entry may ask for are kept.
func (c *Core) dropUnclaimed(now time.Time, entry string, claims []session.Claim) {
	claimed := claimedTasks(claims)
	state := c.entries[entry]
	dropped := make(map[uint64]bool)
	state.events = slices.DeleteFunc(state.events, func(event session.Event) bool {
		dropped[event.Number] = !claimed[event.Task]
		return dropped[event.Number]
	})
	for _, sequence := range c.endSequences() {
		end := c.ends[sequence]
		if end.entry != entry || !dropped[end.event] {
			continue
		}
		delete(c.ends, sequence)
		if end.durable {
			unlinked := end.asOrphan(now, sequence)
			unlinked.event = 0
			c.keepOrphan(unlinked)
		}
	}
}

func claimedTasks(claims []session.Claim) map[work.TaskKey]bool {
	claimed := make(map[work.TaskKey]bool, len(claims))
	for _, claim := range claims {
		claimed[claim.Task] = true
	}
	return claimed
}

// HasSession reports whether the entry has a session and has not been silent on
// it.
func (c *Core) HasSession(entry string) bool {
	state, ok := c.entries[entry]
	return ok && !state.silent
}

// Echo records the newest stamp that the entry has echoed.
func (c *Core) Echo(entry string, stamp session.Stamp) {
	state, ok := c.entries[entry]
	if ok && stamp.Time().After(state.newestEcho) {
		state.newestEcho = stamp.Time()
	}
}

// Acknowledge drops the events and ends that the entry has acknowledged. Ends that it has
// not stored are kept for the entry that owns their job.
func (c *Core) Acknowledge(now time.Time, entry string, acks Acks) {
	state, ok := c.entries[entry]
	if !ok {
		return
	}
	c.orphanUnstored(now, entry, acks.Unstored)
	state.events = slices.DeleteFunc(state.events, func(event session.Event) bool { return event.Number <= acks.Received })
	maps.DeleteFunc(c.ends, func(_ uint64, end pendingEnd) bool {
		return end.entry == entry && end.event <= acks.Processed
	})
	for o := range c.orphans.all() {
		if o.event != 0 && o.entry == entry && o.event <= acks.Processed {
			c.orphans.remove(o)
		}
	}
}

// orphanUnstored unlinks the ends of the entry's events from the entry, for others that
// may ask for them.
func (c *Core) orphanUnstored(now time.Time, entry string, events []uint64) {
	if len(events) == 0 {
		return
	}
	for _, sequence := range c.endSequences() {
		end := c.ends[sequence]
		if end.entry != entry || !end.durable || !slices.Contains(events, end.event) {
			continue
		}
		delete(c.ends, sequence)
		unlinked := end.asOrphan(now, sequence)
		unlinked.event = 0
		c.keepOrphan(unlinked)
	}
	for o := range c.orphans.all() {
		if o.entry == entry && slices.Contains(events, o.event) {
			o.event = 0
		}
	}
}

// EventsFor returns the events that the entry has not acknowledged as received.
func (c *Core) EventsFor(entry string) []session.Event {
	state, ok := c.entries[entry]
	if !ok {
		return nil
	}
	return append([]session.Event(nil), state.events...)
}

// AckedUpTo returns the sequence number up to which the minion may forget its
// ends.
func (c *Core) AckedUpTo() uint64 {
	upTo := c.newestEnd
	for sequence := range c.ends {
		upTo = min(upTo, sequence-1)
	}
	for _, ends := range c.orphans {
		for _, o := range ends {
			if o.sequence != 0 {
				upTo = min(upTo, o.sequence-1)
			}
		}
	}
	for sequence := range c.uncertainEnds {
		upTo = min(upTo, sequence-1)
	}
	return upTo
}

// report numbers an event and queues it for an entry. It returns the event
// number, or 0 if the entry is not known.
func (c *Core) report(entry string, event session.Event) uint64 {
	state, ok := c.entries[entry]
	if !ok {
		return 0
	}
	state.pendingClaims = slices.DeleteFunc(state.pendingClaims, func(claim session.Claim) bool { return claim.Task == event.Task })
	c.newestEvent++
	event.Number = c.newestEvent
	state.events = append(state.events, event)
	c.emit(NotifyEntry{Entry: entry, Event: true})
	return c.newestEvent
}

// dropSilent stops the runs of entries that were not heard from. The ends of
// their runs are kept for a while in case the entry reconnects.
func (c *Core) dropSilent(now time.Time) {
	for name, state := range c.entries {
		since := now.Sub(state.newestEcho)
		if since > SilenceLimit && !state.silent {
			state.silent = true
			c.logEvent(LogEvent{Kind: LogEntrySilent, Entry: name})
			c.withdrawAll(now, name)
			c.orphanStoredEnds(now, name)
		}
		if since > SilenceLimit+silentEntryRetention {
			delete(c.entries, name)
			c.dropEnds(now, name)
		}
	}
}

// endSequences returns the minion's numbers of the ends that entries have not processed, in
// the order of the ends.
func (c *Core) endSequences() []uint64 { return slices.Sorted(maps.Keys(c.ends)) }

// orphanStoredEnds makes the ends of a silent entry's stored jobs available to
// other entries. If the entry reconnects, it claims them.
func (c *Core) orphanStoredEnds(now time.Time, entry string) {
	kept := make(map[uint64]bool)
	for _, sequence := range c.endSequences() {
		end := c.ends[sequence]
		if end.entry != entry || !end.durable {
			continue
		}
		kept[end.event] = true
		delete(c.ends, sequence)
		c.keepOrphan(end.asOrphan(now, sequence))
	}
	state := c.entries[entry]
	state.events = slices.DeleteFunc(state.events, func(event session.Event) bool { return kept[event.Number] })
}

// dropEnds drops the ends that wait for an entry, except those that another
// entry may ask for.
func (c *Core) dropEnds(now time.Time, entry string) {
	for _, sequence := range c.endSequences() {
		end := c.ends[sequence]
		if end.entry != entry {
			continue
		}
		delete(c.ends, sequence)
		if end.durable {
			c.keepOrphan(end.asOrphan(now, sequence))
		}
	}
}

func (c *Core) withdrawAll(now time.Time, entry string) {
	for _, run := range c.runs {
		if run.entry == entry {
			c.withdraw(now, run)
		}
	}
}
