package routing

// patience is how many times as long as at the best target, which is full, a
// task may be expected to take elsewhere before it rather waits.
const patience = 3.0

// candidate is a target with the expected time to completion there.
type candidate struct {
	target   *target
	busy     int
	run      float64
	expected float64
}

// improves reports whether the candidate is better than best: whether it has
// the earlier completion or, at equal ones, a smaller share of its slots in use.
func (c *candidate) improves(best *candidate) bool {
	if best.target == nil {
		return true
	}
	if c.expected != best.expected {
		return c.expected < best.expected
	}
	return c.busy*best.target.info.Slots < best.busy*c.target.info.Slots
}

// finding holds the best target with room and the best one without.
type finding struct {
	open candidate
	full candidate
}

// waits reports whether it is better to wait for the best target than to use
// what has room now.
func (f *finding) waits() bool {
	return f.full.target != nil && f.open.expected > patience*f.full.expected
}
