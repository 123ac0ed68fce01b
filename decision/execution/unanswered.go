package execution

import (
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// PollFailed processes a poll without an answer. A refused connection proves
// that the minion has ended with all its runs.
func (c *Core) PollFailed(now time.Time, refused bool) {
	if refused {
		c.handBackQueueOfEndedMinion(now)
		c.resetIncarnation(now, func(*run) bool { return false })
		c.endUnconfirmedIfGone(now)
		c.reschedule(now)
		return
	}
	c.refusedSince = time.Time{}
	c.recordUnanswered(now)
	c.failedPolls++
	// The minion may still receive this poll late. Raising the fence makes it have
	// no effect then, since the minion has seen a higher one.
	c.fence++
	if now.Sub(c.answeredAt) > UnresponsiveAfter && !c.unresponsive {
		c.unresponsive = true
		c.logEvent(LogEvent{Kind: LogMinionUnresponsive})
		c.reschedule(now)
	}
}

// endUnconfirmedIfGone ends the runs whose starts were not answered once there has been no
// minion for so long that none of these can still arrive at one. A minion that is replaced
// elsewhere never comes back to decide about them.
func (c *Core) endUnconfirmedIfGone(now time.Time) {
	if c.refusedSince.IsZero() {
		c.refusedSince = now
	}
	if now.Sub(c.refusedSince) <= lostMinionAfter {
		return
	}
	for _, run := range c.runs {
		if run.phase == unconfirmed {
			c.finish(run, work.EndCrashed, 0)
		}
	}
}

// handBackQueueOfEndedMinion reports the queued runs as not run once the minion has
// ended: it may be away for longer than they can wait.
func (c *Core) handBackQueueOfEndedMinion(now time.Time) {
	if c.listingRead {
		c.handBackQueue(now)
	}
}

// pollIfOverdue requests an additional poll, while others are in flight, if none
// was answered for PollOverdueAfter: the lease has to be renewed in time.
func (c *Core) pollIfOverdue(now time.Time) {
	if c.unresponsive || !c.listingRead || now.Sub(c.answeredAt) <= PollOverdueAfter || now.Sub(c.extraPollAt) <= PollOverdueAfter/2 {
		return
	}
	c.extraPollAt = now
	c.emit(Poll{Fence: c.fence})
}

// LeaseLapsed is called once every granted lease has certainly lapsed. All runs
// of an unresponsive minion have ended then. Runs of stored jobs may have ended
// as done before that, so they wait for the minion's listing unless the minion
// is lost.
func (c *Core) LeaseLapsed(now time.Time) {
	c.releaseUncertainEnds(now)
	if !c.unresponsive {
		return
	}
	ended := false
	for _, run := range c.runs {
		if run.jobStored && !c.minionLost(now) {
			continue
		}
		if run.phase == unconfirmed && c.minionLost(now) {
			// The start arrives after its deadline, if it still does.
			c.finish(run, work.EndLapsed, 0)
			ended = true
		}
		if run.phase == running || run.phase == stopping {
			c.lapsed = append(c.lapsed, session.CrashedRun{Task: run.task, Route: run.route, Age: run.age(now), Confirmed: true})
			c.finish(run, work.EndLapsed, 0)
			ended = true
		}
	}
	if ended {
		c.reschedule(now)
	}
}

// minionLost reports whether the minion has left polls unanswered for long
// enough to be given up. Elapsed time alone is not enough, because the instance
// may have been suspended.
func (c *Core) minionLost(now time.Time) bool {
	return c.failedPolls > lostMinionPolls && now.Sub(c.answeredAt) > lostMinionAfter
}
