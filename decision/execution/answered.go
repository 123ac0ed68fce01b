package execution

import (
	"time"

	"github.com/figring/figring/work"
)

// StartAnswered takes the outcome of a Start action.
func (c *Core) StartAnswered(now time.Time, start Start, outcome StartOutcome) {
	run, ok := c.runs[start.Task]
	if !ok || run.phase != starting || run.number != start.Number {
		return
	}
	switch outcome {
	case Started:
		run.phase = running
		run.answeredAt = now
		run.listedBy = c.looks + 1
		if run.withdrawn {
			c.stop(now, run, work.EndStopped)
		}
	case StartFenced:
		c.raiseFence(start.Fence)
		c.again(now, run)
	case StartNumberUsed:
		run.number++
		run.bumps++
		if run.bumps > maxRunBumps {
			c.notRun(now, run)
			return
		}
		c.again(now, run)
	case StartUnanswered:
		c.lost(now)
		run.phase = unproved
		c.fence++
		run.proofFence = c.fence
		c.ask(Poll{Fence: c.fence})
	default:
		c.notRun(now, run)
	}
}

// again sends the order once more: it is proved that nothing was done.
func (c *Core) again(now time.Time, run *run) {
	if run.withdrawn || c.silent(now, run.entry) {
		c.notRun(now, run)
		return
	}
	c.start(now, run)
}

func (c *Core) notRun(now time.Time, run *run) {
	c.finish(run, work.EndNotRun, 0)
	c.settle(now)
}

// raiseFence moves past a fence that the minion has seen from a former life of
// the sidecar. A fence that was raised since the call was sent is enough.
func (c *Core) raiseFence(refused int64) {
	if refused == c.fence {
		c.fence += fenceStep
		c.ask(Poll{Fence: c.fence})
	}
}

// PollFenced says that a look was refused for its fence.
func (c *Core) PollFenced(refused int64) { c.raiseFence(refused) }

// Tick looks at what is due by time alone.
func (c *Core) Tick(now time.Time) {
	c.dropSilent(now)
	c.dropOldOrphans(now)
	c.hurryLook(now)
	c.handBackOverdue(now)
	c.repeatStops(now)
	c.stopStuck(now)
}

func (c *Core) handBackOverdue(now time.Time) {
	var overdue []*run
	for _, waiting := range c.queue {
		if now.After(waiting.giveUp) {
			overdue = append(overdue, waiting)
		}
	}
	for _, run := range overdue {
		c.unqueue(run)
		c.finish(run, work.EndNotRun, 0)
	}
}

func (c *Core) repeatStops(now time.Time) {
	for _, run := range c.runs {
		if run.phase == stopping && now.Sub(run.stopSentAt) > StopRetry {
			run.stopSentAt = now
			c.ask(Stop{Task: run.task, Number: run.number, Fence: c.fence})
		}
	}
}

// stopStuck stops runs that make no progress, for their entry to place them
// elsewhere, and runs found at the minion that nobody claims.
func (c *Core) stopStuck(now time.Time) {
	if c.blind {
		return
	}
	for _, run := range c.runs {
		if run.phase != running {
			continue
		}
		if run.entry == "" && now.Sub(run.startedAt) > SilenceLimit {
			c.withdraw(now, run)
			continue
		}
		if run.entry != "" && now.Sub(run.progressAt) > run.stuckAfter() && c.looksFresh(run) {
			c.health.RecordStall(now)
			c.stop(now, run, work.EndStuck)
		}
	}
}

// looksFresh reports whether a look has shown the run since it started.
func (c *Core) looksFresh(run *run) bool { return c.looks > run.listedBy+1 }
