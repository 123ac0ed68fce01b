package execution

import (
	"time"

	"github.com/figring/figring/decision/quarantine"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// maxDrainForAlone is how long a run that has to be alone may wait for the end of the
// runs before it, while nothing else is started.
const maxDrainForAlone = time.Second

// isolation is what the core keeps for runs that are started in isolation.
type isolation struct {
	// lastStart is when a start was last sent to the minion.
	lastStart time.Time
	// pausedUntil is the end of the time after a spaced start in which only tasks of the
	// same job are started.
	pausedUntil time.Time
	spacedJob   work.JobID
	// alone is the run that has to be alone and is in progress; nil for none.
	alone *run
}

// started records the start of a run.
func (i *isolation) started(now time.Time, started *run) {
	i.lastStart = now
	switch started.isolation {
	case session.IsolationSpaced:
		i.pausedUntil = now.Add(quarantine.Spacing)
		i.spacedJob = started.task.Job
	case session.IsolationAlone:
		i.alone = started
	}
}

// mayStart reports whether a run may start now as far as isolated runs are concerned: the
// run itself, or those that were started before it.
func (c *Core) mayStart(now time.Time, waiting *run) bool {
	if c.aloneInProgress() {
		return false
	}
	if now.Before(c.isolation.pausedUntil) {
		return waiting.isolation == session.IsolationSpaced && waiting.task.Job == c.isolation.spacedJob
	}
	switch waiting.isolation {
	case session.IsolationSpaced:
		return now.Sub(c.isolation.lastStart) >= quarantine.Spacing
	case session.IsolationAlone:
		return !c.anyInProgress()
	}
	return true
}

// holdsBack reports whether a run that may not start yet keeps those behind it in the
// queue from being started, so that its own turn comes.
func (c *Core) holdsBack(now time.Time, waiting *run) bool {
	switch waiting.isolation {
	case session.IsolationSpaced:
		return true
	case session.IsolationAlone:
		return now.Sub(waiting.orderedAt) <= maxDrainForAlone
	}
	return c.aloneInProgress() || now.Before(c.isolation.pausedUntil)
}

func (c *Core) aloneInProgress() bool {
	alone := c.isolation.alone
	return alone != nil && c.runs[alone.task] == alone && alone.holdsCapacity()
}

func (c *Core) anyInProgress() bool {
	for _, run := range c.runs {
		if run.holdsCapacity() {
			return true
		}
	}
	return false
}

// startPause estimates how long the minion starts nothing of other jobs, because of
// isolated runs. The job is empty for one that has no runs there.
func (c *Core) startPause(now time.Time, job work.JobID) time.Duration {
	pause := time.Duration(0)
	if job == "" || job != c.isolation.spacedJob {
		pause = max(c.isolation.pausedUntil.Sub(now), 0)
	}
	if c.aloneInProgress() {
		pause += c.expectedRemaining(c.isolation.alone, now)
	}
	counted := job
	for _, waiting := range c.queue {
		if waiting.isolation != session.IsolationNone && waiting.task.Job != counted {
			pause += pauseFor(waiting)
			counted = waiting.task.Job
		}
	}
	return pause
}

// pauseFor estimates for how long a queued run will keep others from being started.
func pauseFor(waiting *run) time.Duration {
	switch waiting.isolation {
	case session.IsolationSpaced:
		return quarantine.Spacing
	case session.IsolationAlone:
		return defaultTurnover + waiting.estimate
	}
	return 0
}
