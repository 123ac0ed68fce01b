package execution

import (
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// Heartbeat processes the minion's report about itself.
func (c *Core) Heartbeat(now time.Time, minion session.Minion, leaving bool) {
	if c.minionSeen && c.minion.Born != minion.Born {
		// The lists of the new incarnation show what has become of the runs.
		c.listingRead, c.caughtUp = false, false
		c.emit(Poll{Fence: c.fence})
	}
	changed := !c.minionSeen || c.minion.ID != minion.ID || c.minion.Capacity != minion.Capacity || c.leaving != leaving
	c.minion = minion
	c.minionSeen = true
	c.leaving = leaving
	if changed {
		c.reschedule(now)
	}
}

// Deregister records that the minion has ended.
func (c *Core) Deregister(now time.Time) {
	c.leaving = true
	c.reschedule(now)
}

// resetIncarnation drops what is known of the former minion incarnation, which
// has ended with its runs. It keeps runs whose start was not answered, because
// the start may have reached the new incarnation or may still reach it, and runs
// for which mayRemain returns true.
func (c *Core) resetIncarnation(now time.Time, mayRemain func(run *run) bool) {
	ended := c.endsWithMinion(now, mayRemain)
	c.ends = make(map[uint64]pendingEnd)
	c.newestEnd = 0
	c.clearOrphanSequences()
	clear(c.uncertainEnds)
	clear(c.confirmedEnds)
	end := work.EndCrashed
	if c.leaving {
		end = work.EndGone
	}
	for _, run := range ended {
		c.finish(run, end, now.Sub(run.startedAt))
	}
	c.leaving = false
	c.minionSeen = false
	c.listingRead, c.caughtUp = false, false
	c.listedIncarnation = 0
	c.health.Reset()
	c.runTimes.Reset()
}

// endsWithMinion returns the runs that have ended with the former minion
// incarnation. It records a crash unless the minion had announced that it leaves.
func (c *Core) endsWithMinion(now time.Time, mayRemain func(run *run) bool) []*run {
	var ended []*run
	var crashed []session.CrashedRun
	for _, run := range c.runs {
		if run.phase == queued || run.inCrash || mayRemain(run) {
			continue
		}
		run.inCrash = true
		crashed = append(crashed, session.CrashedRun{
			Task: run.task, Route: run.route, Age: run.age(now), Confirmed: run.inProgress(),
			Alone: run.isolation == session.IsolationAlone,
		})
		if run.inProgress() {
			ended = append(ended, run)
		}
	}
	if !c.leaving {
		c.recordCrash(now, append(crashed, c.lapsed...))
	}
	c.lapsed = nil
	return ended
}

// outdated reports whether a listing comes from a former incarnation, which
// answered before the present one was known, and arrived after that.
func (c *Core) outdated(listing *Listing) bool {
	return c.listedIncarnation != 0 && listing.Born != c.listedIncarnation && listing.Poll < c.incarnationFirstPoll
}

// FromNewIncarnation reports whether a listing comes from a later minion
// incarnation than the listings before it.
func (c *Core) FromNewIncarnation(listing *Listing) bool {
	return c.listedIncarnation != 0 && listing.Born != c.listedIncarnation && !c.outdated(listing)
}
