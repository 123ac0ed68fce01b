package heldjob

import (
	"time"

	"github.com/figring/figring/decision/interference"
	"github.com/figring/figring/decision/placement"
	"github.com/figring/figring/work"
)

// interferenceInterval is the least time between two sums of the evidence.
const interferenceInterval = time.Second

// SeparateInterference makes placement keep kinds of tasks apart that slow each other
// down.
func (c *Core) SeparateInterference() { c.chooser.Interference = c.interference.Costs() }

// kindOf returns the index of the kind of a step's tasks.
func (c *Core) kindOf(job *job, step *work.Step) int {
	if c.chooser.Interference == nil {
		return interference.NoKind
	}
	if step.Image != "" {
		return c.interference.Kind(step.Image)
	}
	return c.interference.Kind(job.route.Name)
}

// updateInterference records the evidence in the candidate's state and adds up that of all
// candidates from time to time.
func (c *Core) updateInterference(now time.Time, updated *placement.Candidate) {
	if c.chooser.Interference == nil {
		return
	}
	if updated.State.Interference != nil {
		c.interference.Receive(now, &updated.Interference, updated.State.Interference)
	}
	if now.Before(c.nextInterference) {
		return
	}
	c.nextInterference = now.Add(interferenceInterval)
	reports := make([]*interference.Report, len(c.candidates))
	for i, candidate := range c.candidates {
		reports[i] = &candidate.Interference
	}
	for _, change := range c.interference.Update(now, reports) {
		kind := DecidedPairDropped
		if change.Found {
			kind = DecidedPairFound
		}
		c.recordDecision(Decision{Kind: kind, Slowed: change.Slowed, Beside: change.Other, Share: change.Slowdown})
	}
}

// TakeKeptApart returns how many tasks were kept apart from others since the last call.
func (c *Core) TakeKeptApart() int {
	count := c.keptApart
	c.keptApart = 0
	return count
}
