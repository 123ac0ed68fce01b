package routing

// waitRatio decides whether a task waits for a full target: it does if the best
// target with headroom is expected to take more than waitRatio times as long as
// the full one.
const waitRatio = 3.0

// candidate is a target evaluated for one task.
type candidate struct {
	target   *target
	inFlight int
	// runTime is the expected run time in seconds.
	runTime float64
	// expectedTime is the expected time to completion in seconds.
	expectedTime float64
}

// betterThan reports whether the candidate has a shorter expected time than other
// or, if the times are equal, fewer tasks in flight per slot. Any candidate is
// better than one without a target.
func (c *candidate) betterThan(other *candidate) bool {
	if other.target == nil {
		return true
	}
	if c.expectedTime != other.expectedTime {
		return c.expectedTime < other.expectedTime
	}
	return c.inFlight*other.target.info.Slots < other.inFlight*c.target.info.Slots
}

// scanResult holds the best candidate with headroom and the best full one.
type scanResult struct {
	withHeadroom candidate
	full         candidate
}

// shouldWait reports whether the task should wait for the best full target rather
// than be sent to one with headroom.
func (r *scanResult) shouldWait() bool {
	return r.full.target != nil && r.withHeadroom.expectedTime > waitRatio*r.full.expectedTime
}
