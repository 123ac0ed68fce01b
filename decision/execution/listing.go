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
		c.listingRead = false
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
	end := work.EndCrashed
	if c.leaving {
		end = work.EndGone
	}
	for _, run := range ended {
		c.finish(run, end, now.Sub(run.startedAt))
	}
	c.leaving = false
	c.minionSeen = false
	c.listingRead = false
	c.listedIncarnation = 0
	c.health.Reset()
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
			Task: run.task, Route: run.route, Age: run.age(now), Alone: run.isolation == session.IsolationAlone,
		})
		if run.phase == running || run.phase == stopping {
			ended = append(ended, run)
		}
	}
	if !c.leaving {
		c.recordCrash(now, append(crashed, c.lapsed...))
	}
	c.lapsed = nil
	return ended
}

// PollAnswered processes the answer to a poll.
func (c *Core) PollAnswered(now time.Time, listing Listing) {
	if c.outdated(&listing) {
		return
	}
	c.answeredAt = now
	c.failedPolls = 0
	c.unresponsive = false
	if c.FromNewIncarnation(&listing) {
		c.resetIncarnation(now, listing.mayContain)
	}
	c.lapsed = nil
	first := !c.listingRead
	if c.listedIncarnation != listing.Born {
		c.listedIncarnation = listing.Born
		c.incarnationFirstPoll = listing.Poll
	}
	c.listingRead = true
	c.processEnds(now, listing.Finished, first)
	if first {
		c.firstListedAt = now
		c.addFoundRuns(now, listing)
	}
	c.updateRunning(now, listing)
	c.resolveAbsentRuns(now, listing)
	if first {
		c.resolvePendingClaims(now)
	}
	c.startQueued(now)
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

// PollFailed processes a poll without an answer. A refused connection proves
// that the minion has ended with all its runs.
func (c *Core) PollFailed(now time.Time, refused bool) {
	if refused {
		c.handBackQueueOfEndedMinion(now)
		c.resetIncarnation(now, func(*run) bool { return false })
		c.reschedule(now)
		return
	}
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
		if run.phase == running || run.phase == stopping {
			c.lapsed = append(c.lapsed, session.CrashedRun{Task: run.task, Route: run.route, Age: run.age(now)})
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

// processEnds processes each end that was not listed before. Ends in the first
// listing may belong to runs that an earlier process of the sidecar started.
func (c *Core) processEnds(now time.Time, finished []FinishedRun, first bool) {
	for _, end := range finished {
		if end.Sequence <= c.newestEnd {
			continue
		}
		c.newestEnd = end.Sequence
		if _, known := c.runs[end.Task]; first && !known {
			c.keepOrphan(orphan{task: end.Task, end: end.End, checkpoint: end.Checkpoint, sequence: end.Sequence, endedAt: now, orphanedAt: now, storedUnknown: true})
			continue
		}
		c.processEnd(now, end)
	}
}

func (c *Core) processEnd(now time.Time, end FinishedRun) {
	run, ok := c.runs[end.Task]
	if !ok || run.phase == queued || run.number != end.Number {
		return
	}
	run.checkpoint = work.NewestCheckpoint(run.checkpoint, end.Checkpoint)
	took := now.Sub(run.startedAt)
	reported := end.End
	if reported == work.EndStopped && run.stopEnd != 0 {
		reported = run.stopEnd
	}
	c.health.RecordEnd(now, string(run.task.Job), reported, took, run.estimate)
	event := c.finish(run, reported, took)
	switch {
	case event != 0:
		c.ends[end.Sequence] = pendingEnd{entry: run.entry, event: event, task: run.task, end: reported, checkpoint: run.checkpoint, durable: run.jobStored, listedAt: now}
	case run.jobStored || !run.needKnown:
		c.keepOrphan(orphan{task: run.task, end: reported, checkpoint: run.checkpoint, sequence: end.Sequence, endedAt: now, orphanedAt: now, storedUnknown: !run.jobStored})
	}
}

func (c *Core) updateRunning(now time.Time, listing Listing) {
	for _, listed := range listing.Running {
		run, ok := c.runs[listed.Task]
		if !ok {
			// Only this sidecar starts runs, so the listing is older than the end of the
			// run.
			continue
		}
		if run.number != listed.Number {
			continue
		}
		if run.phase == unconfirmed {
			run.phase = running
			// The minion may have answered a poll in flight before the run began, even if
			// that answer arrives later.
			run.firstPoll = c.polls + 1
			if run.withdrawn {
				c.stop(now, run, work.EndStopped)
			}
		}
		run.checkpoint = work.NewestCheckpoint(run.checkpoint, listed.Checkpoint)
		if listed.Percent != run.percent {
			run.percent = listed.Percent
			run.progressAt = now
		}
	}
}

// addFoundRuns adds the runs in the first listing that the core does not know,
// which an earlier process of the sidecar started. They are kept until an entry
// claims them.
func (c *Core) addFoundRuns(now time.Time, listing Listing) {
	for _, listed := range listing.Running {
		if _, known := c.runs[listed.Task]; known {
			continue
		}
		c.runs[listed.Task] = &run{
			task:       listed.Task,
			phase:      running,
			number:     listed.Number,
			percent:    listed.Percent,
			checkpoint: listed.Checkpoint,
			found:      true,
			startedAt:  now,
			progressAt: now,
			firstPoll:  listing.Poll,
		}
	}
}

// resolveAbsentRuns decides about runs that the listing should show and does
// not.
func (c *Core) resolveAbsentRuns(now time.Time, listing Listing) {
	if listing.Partial {
		return
	}
	shown := make(map[work.TaskKey]int, len(listing.Running))
	for _, listed := range listing.Running {
		shown[listed.Task] = listed.Number
	}
	for _, run := range c.runs {
		if number, ok := shown[run.task]; ok && number == run.number {
			continue
		}
		switch run.phase {
		case unconfirmed:
			if listing.Fence >= run.confirmFence {
				c.resolveUnconfirmed(now, run)
			}
		case running, stopping:
			if listing.Poll >= run.firstPoll {
				c.finish(run, work.EndGone, 0)
			}
		}
	}
}

// resolveUnconfirmed decides about a run whose start had no effect on the listed
// incarnation. If it was sent to an earlier one, that one may have crashed under it, and
// the entry decides whether to start it again.
func (c *Core) resolveUnconfirmed(now time.Time, run *run) {
	if run.incarnation != c.listedIncarnation {
		c.finish(run, work.EndCrashed, 0)
		c.reschedule(now)
		return
	}
	run.number++
	c.resend(now, run)
}

func (c *Core) resolvePendingClaims(now time.Time) {
	for name, state := range c.entries {
		claims := state.pendingClaims
		state.pendingClaims = nil
		c.resolveClaims(now, name, claims)
	}
	c.reschedule(now)
}
