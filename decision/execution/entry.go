package execution

import (
	"maps"
	"slices"
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// entryState is what the core knows of one entry.
type entryState struct {
	boot string
	// echoed is the newest stamp that the entry has repeated.
	echoed time.Time
	// silent is true from the moment at which its runs were stopped for want of
	// a sign, until it opens a new session.
	silent bool
	seen   uint64

	events []session.Event

	// claims wait for the first listing.
	claims []session.Claim
}

// Known says up to which numbers an entry knows events.
type Known struct {
	// Heard is the newest event that the entry was told.
	Heard uint64
	// Noted is the number up to which nothing need be kept for it.
	Noted uint64
}

// Greeting is what an entry says when it opens a session.
type Greeting struct {
	Entry, Boot string
	Events      Known
	Claims      []session.Claim
	// Minion is what the entry last knew of the sidecar's minion.
	Minion session.Minion
	// KeepsJobs means that there may be stored jobs in the system.
	KeepsJobs bool
}

// Hello opens a session of an entry. What a former life of it had is stopped,
// and so is what it no longer claims.
func (c *Core) Hello(now time.Time, greeting Greeting) {
	entry, boot, claims := greeting.Entry, greeting.Boot, greeting.Claims
	c.keptSeen = c.keptSeen || greeting.KeepsJobs
	c.noneSeen = c.noneSeen || !greeting.KeepsJobs
	known, ok := c.entries[entry]
	if !ok || known.boot != boot {
		c.stopAll(now, entry)
		c.forgetEnds(now, entry)
		c.disown(entry)
		known = &entryState{boot: boot}
		c.entries[entry] = known
	}
	known.echoed = now
	known.silent = false
	known.seen = 0
	c.markHeard(entry, greeting.Events.Heard)
	c.Noted(entry, greeting.Events)
	c.dropUnclaimed(entry, claims)
	c.adoptMinion(now, greeting.Minion)
	if !c.listed {
		known.claims = slices.DeleteFunc(slices.Clone(claims), func(claim session.Claim) bool { return c.hasEvent(entry, claim.Task) })
		return
	}
	c.settleClaims(now, entry, claims)
}

// disown takes the runs of an entry's former life from it. The present life knows
// nothing of them, and their ends are kept for whoever takes their jobs over.
func (c *Core) disown(entry string) {
	for _, run := range c.runs {
		if run.entry == entry {
			run.entry = ""
		}
	}
}

// adoptMinion takes an entry's knowledge of the minion when the listing shows
// that it is of the same incarnation. It saves the wait for a heartbeat.
func (c *Core) adoptMinion(now time.Time, minion session.Minion) {
	if c.minionSeen || minion.ID == "" || c.bornListed == 0 || minion.Born != c.bornListed {
		return
	}
	c.minion = minion
	c.minionSeen = true
	c.settle(now)
}

// markHeard tells the ends that an entry has heard from those that were taken
// back from it before: only the former may be noted by their numbers.
func (c *Core) markHeard(entry string, heard uint64) {
	for task, one := range c.orphans {
		if one.entry == entry && one.event > heard {
			one.event = 0
			c.orphans[task] = one
		}
	}
}

// dropUnclaimed drops the events of tasks that the entry has given up. It may
// order them anew, and would take the end of the former run for that of the new.
func (c *Core) dropUnclaimed(entry string, claims []session.Claim) {
	claimed := claimedTasks(claims)
	known := c.entries[entry]
	dropped := make(map[uint64]bool)
	known.events = slices.DeleteFunc(known.events, func(event session.Event) bool {
		dropped[event.Number] = !claimed[event.Task]
		return dropped[event.Number]
	})
	maps.DeleteFunc(c.ends, func(_ uint64, end pendingEnd) bool { return end.entry == entry && dropped[end.event] })
}

func claimedTasks(claims []session.Claim) map[work.TaskKey]bool {
	claimed := make(map[work.TaskKey]bool, len(claims))
	for _, claim := range claims {
		claimed[claim.Task] = true
	}
	return claimed
}

// Knows reports whether the entry has a session that it was heard on in time.
func (c *Core) Knows(entry string) bool {
	known, ok := c.entries[entry]
	return ok && !known.silent
}

// settleClaims compares what an entry claims with what is there.
func (c *Core) settleClaims(now time.Time, entry string, claims []session.Claim) {
	claimed := claimedTasks(claims)
	for _, claim := range claims {
		c.settleClaim(now, entry, claim)
	}
	for _, run := range c.runs {
		if run.entry == entry && !claimed[run.task] {
			c.withdraw(now, run)
		}
	}
	c.settle(now)
}

func (c *Core) settleClaim(now time.Time, entry string, claim session.Claim) {
	if c.hasEvent(entry, claim.Task) || c.claimOrphan(entry, claim.Task) {
		return
	}
	run, ok := c.runs[claim.Task]
	if !ok || (run.entry != entry && run.entry != "") {
		// What was ordered may have run: an end that nobody has heard is forgotten
		// some time after its entry.
		c.report(entry, session.Event{Task: claim.Task, End: work.EndGone})
		return
	}
	if run.entry == "" {
		run.entry = entry
		run.need = claim.Need
		run.needKnown = true
		run.estimate = claim.Estimate
		run.kept = claim.Stored
	}
}

func (c *Core) hasEvent(entry string, task work.TaskKey) bool {
	known, ok := c.entries[entry]
	if !ok {
		return false
	}
	for _, event := range known.events {
		if event.Task == task {
			return true
		}
	}
	return false
}

// Echo takes note of the newest stamp that the entry repeats.
func (c *Core) Echo(entry string, stamp session.Stamp) {
	known, ok := c.entries[entry]
	if ok && stamp.Time().After(known.echoed) {
		known.echoed = stamp.Time()
	}
}

// Noted takes note of what the entry knows.
func (c *Core) Noted(entry string, events Known) {
	known, ok := c.entries[entry]
	if !ok {
		return
	}
	known.events = slices.DeleteFunc(known.events, func(event session.Event) bool { return event.Number <= events.Heard })
	maps.DeleteFunc(c.ends, func(_ uint64, end pendingEnd) bool {
		return end.entry == entry && end.event <= events.Noted
	})
	maps.DeleteFunc(c.orphans, func(_ work.TaskKey, one orphan) bool {
		return one.event != 0 && one.entry == entry && one.event <= events.Noted
	})
}

// EventsFor returns the events that the entry has not taken note of.
func (c *Core) EventsFor(entry string) []session.Event {
	known, ok := c.entries[entry]
	if !ok {
		return nil
	}
	return append([]session.Event(nil), known.events...)
}

// AckedUpTo returns the number up to which the minion may forget its ends.
func (c *Core) AckedUpTo() uint64 {
	upTo := c.newestEnd
	for sequence := range c.ends {
		upTo = min(upTo, sequence-1)
	}
	for _, one := range c.orphans {
		if one.sequence != 0 {
			upTo = min(upTo, one.sequence-1)
		}
	}
	for sequence := range c.doubtful {
		upTo = min(upTo, sequence-1)
	}
	return upTo
}

// report numbers an event, adds it to those for an entry and returns the number,
// 0 when the entry is not known.
func (c *Core) report(entry string, event session.Event) uint64 {
	known, ok := c.entries[entry]
	if !ok {
		return 0
	}
	known.claims = slices.DeleteFunc(known.claims, func(claim session.Claim) bool { return claim.Task == event.Task })
	c.newestEvent++
	event.Number = c.newestEvent
	known.events = append(known.events, event)
	c.ask(Wake{Entry: entry, Event: true})
	return c.newestEvent
}

// dropSilent stops the runs of entries that were not heard from. The ends of
// their runs are kept for a while, for an entry that comes back.
func (c *Core) dropSilent(now time.Time) {
	for name, known := range c.entries {
		since := now.Sub(known.echoed)
		if since > SilenceLimit && !known.silent {
			known.silent = true
			c.noted(Note{Kind: NoteSilent, Entry: name})
			c.stopAll(now, name)
			c.offerEnds(now, name)
		}
		if since > SilenceLimit+silenceKept {
			delete(c.entries, name)
			c.forgetEnds(now, name)
		}
	}
}

// offerEnds lets others ask for the ends of a silent entry's stored jobs. An
// entry that comes back claims them.
func (c *Core) offerEnds(now time.Time, entry string) {
	kept := make(map[uint64]bool)
	for sequence, end := range c.ends {
		if end.entry != entry || !end.kept {
			continue
		}
		kept[end.event] = true
		delete(c.ends, sequence)
		c.orphan(end.orphaned(now, sequence))
	}
	known := c.entries[entry]
	known.events = slices.DeleteFunc(known.events, func(event session.Event) bool { return kept[event.Number] })
}

// forgetEnds drops the ends that wait for an entry, but for those that another
// entry may ask for.
func (c *Core) forgetEnds(now time.Time, entry string) {
	for sequence, end := range c.ends {
		if end.entry != entry {
			continue
		}
		delete(c.ends, sequence)
		if end.kept {
			c.orphan(end.orphaned(now, sequence))
		}
	}
}

// stopAll withdraws all runs of an entry.
func (c *Core) stopAll(now time.Time, entry string) {
	for _, run := range c.runs {
		if run.entry == entry {
			c.withdraw(now, run)
		}
	}
}
