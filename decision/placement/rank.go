package placement

import "time"

// rank says how good a candidate is among others.
type rank struct {
	// late means that the wait exceeds the task's MaxWait. It comes before the cost.
	late bool
	cost time.Duration
}

// rankOf returns the rank of a candidate with the cost. Expected run times, failures and
// interference may cost more than lateStartCost, and must not make a task wait for too long
// while a candidate has room.
func (c *Chooser) rankOf(assessed *Assessment, cost time.Duration) rank {
	unbounded := c.EstimateRunTimes || c.Interference != nil
	return rank{late: unbounded && assessed.Costs.Late > 0, cost: cost}
}

// better reports whether the rank is better than another.
func (r rank) better(other rank) bool {
	if r.late != other.late {
		return other.late
	}
	return r.cost < other.cost
}
