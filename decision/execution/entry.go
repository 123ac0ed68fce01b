package execution

import (
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// entryState is what the core knows of one entry.
type entryState struct {
	boot string
	// echoed is the newest stamp that the entry has repeated.
	echoed time.Time
	seen   uint64

	events    []session.Event
	nextEvent uint64

	// claims wait for the first listing.
	claims []session.Claim
}

func (e *entryState) silent(now time.Time) bool {
	return now.Sub(e.echoed) > SilenceLimit
}

// Hello opens a session of an entry. What a former life of it had is stopped,
// and so is what it no longer claims.
func (c *Core) Hello(now time.Time, entry, boot string, claims []session.Claim, minion session.Minion) {
	known, ok := c.entries[entry]
	if !ok || known.boot != boot {
		c.stopAll(now, entry)
		known = &entryState{boot: boot}
		c.entries[entry] = known
	}
	known.echoed = now
	known.seen = 0
	c.adoptMinion(now, minion)
	if !c.listed {
		known.claims = claims
		return
	}
	c.settleClaims(now, entry, claims)
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

// Knows reports whether the entry has a session that it was heard on in time.
func (c *Core) Knows(entry string) bool {
	_, ok := c.entries[entry]
	return ok
}

// settleClaims compares what an entry claims with what is there.
func (c *Core) settleClaims(now time.Time, entry string, claims []session.Claim) {
	claimed := make(map[work.TaskKey]bool, len(claims))
	for _, claim := range claims {
		claimed[claim.Task] = true
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
	if c.hasEvent(entry, claim.Task) {
		return
	}
	run, ok := c.runs[claim.Task]
	if !ok || (run.entry != entry && run.entry != "") {
		c.report(entry, claim.Task, work.EndNotRun, 0)
		return
	}
	if run.entry == "" {
		run.entry = entry
		run.need = claim.Need
		run.needKnown = true
		run.estimate = claim.Estimate
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

// Noted takes note that the entry knows all events up to the number.
func (c *Core) Noted(entry string, upTo uint64) {
	known, ok := c.entries[entry]
	if !ok {
		return
	}
	kept := known.events[:0]
	for _, event := range known.events {
		if event.Number > upTo {
			kept = append(kept, event)
		}
	}
	known.events = kept
	for sequence, end := range c.ends {
		if end.entry == entry && end.event <= upTo {
			delete(c.ends, sequence)
		}
	}
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
	return upTo
}

// report adds an event for an entry and returns its number, 0 when the entry
// is not known.
func (c *Core) report(entry string, task work.TaskKey, end work.End, took time.Duration) uint64 {
	known, ok := c.entries[entry]
	if !ok {
		return 0
	}
	known.nextEvent++
	known.events = append(known.events, session.Event{Number: known.nextEvent, Task: task, End: end, RunTime: took})
	c.ask(Wake{Entry: entry, Event: true})
	return known.nextEvent
}

// dropSilent stops the runs of entries that were not heard from.
func (c *Core) dropSilent(now time.Time) {
	for name, known := range c.entries {
		if !known.silent(now) {
			continue
		}
		c.noted(Note{Kind: NoteSilent, Entry: name})
		c.stopAll(now, name)
		delete(c.entries, name)
		c.forgetEnds(name)
	}
}

func (c *Core) forgetEnds(entry string) {
	for sequence, end := range c.ends {
		if end.entry == entry {
			delete(c.ends, sequence)
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
