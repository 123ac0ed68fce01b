package execution

import (
	"time"

	"github.com/figring/figring/work"
)

// PollAnswered processes the answer to a poll.
func (c *Core) PollAnswered(now time.Time, listing Listing) {
	if c.outdated(&listing) {
		return
	}
	c.answeredAt = now
	c.failedPolls = 0
	c.refusedSince = time.Time{}
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
	c.processEnds(now, listing.Finished)
	c.caughtUp = c.caughtUp || !listing.Truncated
	if first {
		c.firstListedAt = now
		c.addFoundRuns(now, listing)
	}
	c.updateRunning(now, listing)
	c.resolveAbsentRuns(now, listing)
	switch {
	case first:
		c.resolvePendingClaims(now)
	case c.caughtUp:
		c.resolveLateClaims(now)
	}
	c.checkReport(now, &listing)
	c.startQueued(now)
}

// processEnds processes each end that was not listed before. The first ones may belong
// to runs that an earlier process of the sidecar started.
func (c *Core) processEnds(now time.Time, finished []FinishedRun) {
	for _, end := range finished {
		if end.Sequence <= c.newestEnd {
			continue
		}
		c.newestEnd = end.Sequence
		run, known := c.runs[end.Task]
		if !c.caughtUp && (!known || run.number != end.Number) {
			// The run may have ended long before, so endedAt is not known.
			c.keepOrphan(orphan{task: end.Task, end: end.End, attempt: attemptOf(end.Number), checkpoint: end.Checkpoint, sequence: end.Sequence, orphanedAt: now, storedUnknown: true})
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
	if reported == work.EndDone {
		c.recordPresence(now, run)
	}
	c.health.RecordEnd(now, string(run.task.Job), reported, took, run.estimate)
	if reported == work.EndDone && !run.found && c.reportsRunTimes {
		c.runTimes.Record(now, run.route, took, run.estimate)
	}
	event := c.finish(run, reported, took)
	switch {
	case event != 0:
		c.ends[end.Sequence] = pendingEnd{entry: run.entry, event: event, task: run.task, end: reported, attempt: attemptOf(run.number), epoch: run.epoch, checkpoint: run.checkpoint, durable: run.jobStored, listedAt: now}
	case run.jobStored || !run.needKnown:
		c.keepOrphan(orphan{task: run.task, end: reported, attempt: attemptOf(run.number), epoch: run.epoch, checkpoint: run.checkpoint, sequence: end.Sequence, endedAt: now, orphanedAt: now, storedUnknown: !run.jobStored})
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

// resolveLateClaims resolves the claims of tasks whose ends the minion has listed late.
func (c *Core) resolveLateClaims(now time.Time) {
	for name, state := range c.entries {
		claims := state.pendingClaims
		state.pendingClaims = nil
		for _, claim := range claims {
			c.resolveClaim(now, name, claim)
		}
	}
}

func (c *Core) resolvePendingClaims(now time.Time) {
	for name, state := range c.entries {
		claims := state.pendingClaims
		state.pendingClaims = nil
		c.resolveClaims(now, name, claims)
	}
	c.reschedule(now)
}
