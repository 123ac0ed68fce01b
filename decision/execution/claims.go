package execution

import (
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// resolveClaims compares the runs that an entry claims with those that the core
// has.
func (c *Core) resolveClaims(now time.Time, entry string, claims []session.Claim) {
	claimed := claimedTasks(claims)
	for _, claim := range claims {
		c.resolveClaim(now, entry, claim)
	}
	for _, run := range c.runs {
		if run.entry == entry && !claimed[run.task] {
			c.withdraw(now, run)
		}
	}
	c.reschedule(now)
}

func (c *Core) resolveClaim(now time.Time, entry string, claim session.Claim) {
	// An entry of an earlier build and one with a best-effort job claim without an epoch. They
	// are told what is here.
	if claim.Epoch != session.UnknownEpoch {
		c.voidSuperseded(now, claim.Task, claim.Epoch)
	}
	if c.hasEvent(entry, claim.Task) {
		return
	}
	run, here := c.runs[claim.Task]
	if here && (run.entry == entry || run.entry == "") {
		// What is kept of the task is of earlier runs.
		c.attach(run, entry, &claim)
		return
	}
	if c.claimOrphan(entry, claim.Task, claim.Attempt) {
		return
	}
	if !here && !c.caughtUp {
		c.entries[entry].pendingClaims = append(c.entries[entry].pendingClaims, claim)
		return
	}
	// The ordered task may have run: an end that no entry has received is
	// forgotten some time after its entry.
	c.report(entry, session.Event{Task: claim.Task, End: work.EndGone})
}

// attach makes the entry that claims a run which was found at the minion the one that waits
// for it.
func (c *Core) attach(run *run, entry string, claim *session.Claim) {
	if run.entry != "" {
		return
	}
	run.entry = entry
	run.route = claim.Route
	run.need = c.minion.Occupied(claim.Need)
	run.needKnown = true
	run.estimate = claim.Estimate
	run.epoch = claim.Epoch
	run.jobStored = claim.Stored
}

func (c *Core) hasEvent(entry string, task work.TaskKey) bool {
	state, ok := c.entries[entry]
	if !ok {
		return false
	}
	for _, event := range state.events {
		if event.Task == task {
			return true
		}
	}
	return false
}
