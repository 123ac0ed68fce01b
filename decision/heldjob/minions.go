package heldjob

import (
	"time"

	"github.com/figring/figring/decision/runtimes"
)

const (
	// comparisonInterval is the least time between two comparisons of the failure shares.
	comparisonInterval = 20 * time.Millisecond
	// runTimesInterval is the least time between two estimates of the run times.
	runTimesInterval = 100 * time.Millisecond
)

// EstimateRunTimes makes placement allow for the run times and failures that sidecars
// report.
func (c *Core) EstimateRunTimes() { c.chooser.EstimateRunTimes = true }

// compareMinions combines what the sidecars have reported of their minions' run times and
// failures.
func (c *Core) compareMinions(now time.Time) {
	if !c.chooser.EstimateRunTimes {
		return
	}
	if !now.Before(c.nextComparison) {
		c.nextComparison = now.Add(comparisonInterval)
		c.compareFailures()
	}
	if !now.Before(c.nextRunTimes) {
		c.nextRunTimes = now.Add(runTimesInterval)
		c.combineRunTimes(now)
	}
}

// combineRunTimes estimates the run times on each candidate's minion.
func (c *Core) combineRunTimes(now time.Time) {
	minions := make([]*runtimes.Minion, len(c.candidates))
	for i, candidate := range c.candidates {
		minions[i] = &candidate.RunTimes
	}
	c.runTimes.Update(now, minions)
}

// KindRatios returns the ratios of measured to declared run time by kind of minion and
// route.
func (c *Core) KindRatios() []runtimes.KindRatio { return c.runTimes.Kinds() }

// compareFailures compares the failure shares of the sidecars, and records those that
// tasks begin or cease to avoid.
func (c *Core) compareFailures() {
	for _, change := range c.failures.Update(c.candidates) {
		kind := DecidedMinionUsed
		if change.Avoided {
			kind = DecidedMinionAvoided
		}
		c.recordDecision(Decision{Kind: kind, Sidecar: change.Candidate.Name, Share: change.Excess})
	}
}
