package execution

import (
	"time"

	"github.com/figring/figring/work"
)

// StartAnswered processes the outcome of a Start action.
func (c *Core) StartAnswered(now time.Time, start Start, outcome StartOutcome) {
	run, ok := c.runs[start.Task]
	if !ok || run.phase != starting || run.number != start.Number {
		return
	}
	switch outcome {
	case Started:
		run.phase = running
		run.answeredAt = now
		if run.number != firstRunNumber(run.orderedAttempt) {
			c.recordUsedNumber(now, run)
		}
		run.firstPoll = c.polls + 1
		if run.withdrawn {
			c.stop(now, run, work.EndStopped)
		}
	case StartFenced:
		c.raiseFence(start.Fence)
		c.resend(now, run)
	case StartNumberUsed:
		c.recordUsedNumber(now, run)
		c.resendRenumbered(now, run)
	case StartUnanswered:
		c.recordUnanswered(now)
		run.phase = unconfirmed
		c.fence++
		run.confirmFence = c.fence
		c.emit(Poll{Fence: c.fence})
	default:
		c.finishNotRun(now, run)
	}
}

// resend sends the start of a run again. The caller knows that the previous
// start had no effect.
func (c *Core) resend(now time.Time, run *run) {
	if run.withdrawn || c.silent(now, run.entry) {
		c.finishNotRun(now, run)
		return
	}
	c.start(now, run)
}

func (c *Core) finishNotRun(now time.Time, run *run) {
	c.finish(run, work.EndNotRun, 0)
	c.reschedule(now)
}

// resendRenumbered sends the start of a run again with a higher number. A minion that
// refuses all numbers of an attempt has seen a later one, of an entry that knew of more
// failed runs: it was lost before it could store them. The run becomes one of the next
// attempt then.
func (c *Core) resendRenumbered(now time.Time, run *run) {
	run.runNumberRetries++
	next := run.number + 1<<max(run.runNumberRetries-linearRunNumberRetries, 0)
	if attemptOf(next) != attemptOf(run.number) {
		run.runNumberRetries = 0
		next = firstRunNumber(attemptOf(run.number) + 1)
	}
	if attemptOf(next) > run.orderedAttempt+maxSkippedAttempts {
		c.finishNotRun(now, run)
		return
	}
	run.number = next
	c.resend(now, run)
}

// raiseFence raises the fence above one that the minion has seen from an earlier
// process of the sidecar. It does nothing if the fence was raised since the
// refused call was sent.
func (c *Core) raiseFence(refused int64) {
	if refused == c.fence {
		c.fence += fenceStep
		c.emit(Poll{Fence: c.fence})
	}
}

// PollFenced processes a poll that the minion refused because it has seen a
// higher fence.
func (c *Core) PollFenced(refused int64) { c.raiseFence(refused) }

// Tick processes everything that is due by time alone.
func (c *Core) Tick(now time.Time) {
	if c.interference != nil {
		c.interference.Advance(now)
	}
	c.dropSilent(now)
	c.dropOldOrphans(now)
	c.pollIfOverdue(now)
	c.handBackOverdue(now)
	c.repeatStops(now)
	c.stopStuck(now)
	c.startQueued(now)
}

func (c *Core) handBackOverdue(now time.Time) {
	var overdue []*run
	for _, waiting := range c.queue {
		if now.After(waiting.queueUntil) {
			overdue = append(overdue, waiting)
		}
	}
	for _, run := range overdue {
		c.dequeue(run)
		c.finish(run, work.EndNotRun, 0)
	}
}

func (c *Core) repeatStops(now time.Time) {
	for _, run := range c.runs {
		if run.phase == stopping && now.Sub(run.stopSentAt) > StopRetry {
			run.stopSentAt = now
			c.emit(Stop{Task: run.task, Number: run.number, Fence: c.fence})
		}
	}
}

// stopStuck stops runs without progress, so that their entries can place them
// elsewhere, and runs found at the minion that no entry has claimed.
func (c *Core) stopStuck(now time.Time) {
	if c.unresponsive {
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
		if run.entry != "" && now.Sub(run.progressAt) > run.stuckAfter() && c.polledSinceStart(run) {
			c.health.RecordStall(now)
			c.stop(now, run, work.EndStuck)
		}
	}
}

// polledSinceStart reports whether enough polls were sent since the run started
// for one of them to have shown it.
func (c *Core) polledSinceStart(run *run) bool { return c.polls > run.firstPoll+1 }
