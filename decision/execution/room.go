package execution

import (
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// used returns the room of all runs that may be at work, and whether it is
// known: runs found at the minion have no known need until they are claimed.
func (c *Core) used() (work.Room, bool) {
	sum, known := work.Room{}, true
	for _, run := range c.runs {
		if !run.occupies() {
			continue
		}
		known = known && run.needKnown
		sum = sum.Add(run.need)
	}
	return sum, known
}

// free returns the room in which nothing is at work.
func (c *Core) free() work.Room {
	used, known := c.used()
	if !known {
		return work.Room{}
	}
	return c.minion.Capacity.Sub(used)
}

// queuedNeed returns the sum of what waits for room.
func (c *Core) queuedNeed() work.Room {
	sum := work.Room{}
	for _, run := range c.queue {
		sum = sum.Add(run.need)
	}
	return sum
}

// backlog returns what waits for room by the time until it has to start.
func (c *Core) backlog(now time.Time) session.Backlog {
	var backlog session.Backlog
	for _, run := range c.queue {
		backlog.Add(run.startBy.Sub(now), run.need.MilliCPU)
	}
	return backlog
}

// turnover returns the expected time in which the whole capacity becomes free
// once: twice the mean rest of what runs, weighted by processor need, since the
// ends are spread over that time.
func (c *Core) turnover(now time.Time) time.Duration {
	var weight, sum float64
	for _, run := range c.runs {
		if !run.occupies() || !run.needKnown {
			continue
		}
		rest := c.expectedRest(run, now)
		weight += float64(run.need.MilliCPU)
		sum += float64(run.need.MilliCPU) * float64(rest)
	}
	if weight == 0 {
		return defaultTurnover
	}
	return time.Duration(2 * sum / weight)
}

// expectedRest estimates the rest of a run time from the caller's estimate, or
// from the progress where there is some.
func (c *Core) expectedRest(run *run, now time.Time) time.Duration {
	elapsed := now.Sub(run.startedAt)
	expected := time.Duration(float64(run.estimate) * c.health.Pace(now))
	if run.percent >= minPercent {
		atProgress := run.progressAt.Sub(run.startedAt)
		expected = time.Duration(float64(atProgress) * fullPercent / float64(run.percent))
	}
	return max(expected-elapsed, time.Duration(float64(run.estimate)*minRestShare))
}

const (
	// minPercent is the progress from which it foretells the run time.
	minPercent  = 15
	fullPercent = 100
	// minRestShare is the part of the estimate that an overdue run is expected
	// to take still.
	minRestShare = 0.1
)

// StateFor returns what the entry is told.
func (c *Core) StateFor(entry string, now time.Time) session.State {
	reason := c.refusal()
	state := session.State{
		Minion:    c.minion,
		Accepting: reason == session.RefusedNone,
		Reason:    reason,
		Suspect:   c.health.Suspect(),
		TrialDue:  len(c.runs) == 0 && c.health.TrialDue(now),
		Free:      c.free(),
		Queued:    c.backlog(now),
		Turnover:  c.turnover(now),
		Pace:      c.health.Pace(now),
	}
	if known, ok := c.entries[entry]; ok {
		state.LastStartNumber = known.seen
	}
	return state
}
