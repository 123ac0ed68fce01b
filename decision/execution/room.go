package execution

import (
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// used returns the resources of all runs that may be in progress, and whether
// they are known: the need of a run found at the minion is unknown until an
// entry claims the run.
func (c *Core) used() (work.Resources, bool) {
	sum, known := work.Resources{}, true
	for _, run := range c.runs {
		if !run.holdsCapacity() {
			continue
		}
		known = known && run.needKnown
		sum = sum.Add(run.need)
	}
	return sum, known
}

// free returns the capacity that no run occupies. It is zero while the need of a
// run is unknown.
func (c *Core) free() work.Resources {
	used, known := c.used()
	if !known {
		return work.Resources{}
	}
	return c.minion.Capacity.Sub(used)
}

// queuedNeed returns the sum of the needs of all queued runs.
func (c *Core) queuedNeed() work.Resources {
	sum := work.Resources{}
	for _, run := range c.queue {
		sum = sum.Add(run.need)
	}
	return sum
}

// backlog returns the CPU need of the queued runs, by the time until they have
// to start, queue delays included.
func (c *Core) backlog(now time.Time) session.Backlog {
	var backlog session.Backlog
	for _, run := range c.queue {
		backlog.Add(run.queuedBy.Sub(now), run.need.MilliCPU)
	}
	return backlog
}

// turnover returns the expected time in which the whole capacity becomes free
// once. It is twice the mean remaining run time, weighted by CPU need, because
// the ends are spread over that time.
func (c *Core) turnover(now time.Time) time.Duration {
	var weight, sum float64
	for _, run := range c.runs {
		if !run.holdsCapacity() || !run.needKnown {
			continue
		}
		remaining := c.expectedRemaining(run, now)
		weight += float64(run.need.MilliCPU)
		sum += float64(run.need.MilliCPU) * float64(remaining)
	}
	if weight == 0 {
		return defaultTurnover
	}
	return time.Duration(2 * sum / weight)
}

// expectedRemaining estimates the remaining run time from the run's progress, or
// from the caller's estimate if there is too little progress.
func (c *Core) expectedRemaining(run *run, now time.Time) time.Duration {
	elapsed := now.Sub(run.startedAt)
	expected := time.Duration(float64(run.estimate) * c.health.Pace(now))
	if run.percent >= minProgressPercent {
		atProgress := run.progressAt.Sub(run.startedAt)
		expected = time.Duration(float64(atProgress) * fullPercent / float64(run.percent))
	}
	return max(expected-elapsed, time.Duration(float64(run.estimate)*minRemainingShare))
}

const (
	// minProgressPercent is the progress from which the run time is extrapolated.
	minProgressPercent = 15
	fullPercent        = 100
	// thousandths converts a share to the unit of session.State.FailureShare.
	thousandths = 1000
	// minRemainingShare is the share of the estimate that an overdue run is still
	// expected to take.
	minRemainingShare = 0.1
)

// StateFor returns the state to send to the entry.
func (c *Core) StateFor(entry string, now time.Time) session.State {
	reason := c.refusal()
	state := session.State{
		Minion:    c.minion,
		Accepting: reason == session.RefusedNone,
		Reason:    reason,
		Suspect:   c.health.Suspect(),
		TrialDue:  c.trialDue(now),
		Free:      c.free(),
		Queued:    c.backlog(now),
		Turnover:  c.turnover(now),

		StartPause: c.startPause(now, ""),
		Pace:       c.health.Pace(now),
	}
	if c.reportsRunTimes {
		state.FailureShare = max(int(thousandths*c.health.FailureShare(now)), 1)
	}
	if c.interference != nil {
		state.Running = c.interference.Running()
	}
	if peer, ok := c.entries[entry]; ok {
		state.LastStartNumber = peer.newestRequest
	}
	return state
}
