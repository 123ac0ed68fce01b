package execution

import "time"

const (
	// pollWait is how long a look waits for an end while all orders are
	// answered, and so the interval at which the lease is renewed.
	pollWait  = 120 * time.Millisecond
	pollGrace = 100 * time.Millisecond
	// wary times are used while orders go unanswered: an end that a lost look
	// would have told is seen by the next one.
	shortPollWait  = 25 * time.Millisecond
	shortPollGrace = 20 * time.Millisecond
	// maxShortPollGrace bounds the grace of looks that are lost one after the other, as
	// on an instance that is slow.
	maxShortPollGrace = 320 * time.Millisecond
	// shortPollPeriod is how long a lost order makes looks wary.
	shortPollPeriod = 2 * time.Second
)

// PollTimeouts returns how long a look may wait for an end, and how long beyond
// that its answer may take.
func (c *Core) PollTimeouts(now time.Time) (wait, grace time.Duration) {
	if c.unansweredAt.IsZero() || now.Sub(c.unansweredAt) > shortPollPeriod {
		return pollWait, pollGrace
	}
	grace = shortPollGrace
	for range c.failedPolls {
		grace = min(grace*2, maxShortPollGrace)
	}
	return shortPollWait, grace
}

// recordUnanswered takes note of an order without an answer.
func (c *Core) recordUnanswered(now time.Time) { c.unansweredAt = now }
