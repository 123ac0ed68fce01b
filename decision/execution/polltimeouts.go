package execution

import "time"

const (
	// calmWait is how long a look waits for an end while all orders are
	// answered, and so the interval at which the lease is renewed.
	calmWait  = 120 * time.Millisecond
	calmGrace = 100 * time.Millisecond
	// wary times are used while orders go unanswered: an end that a lost look
	// would have told is seen by the next one.
	waryWait  = 25 * time.Millisecond
	waryGrace = 20 * time.Millisecond
	// maxGrace bounds the grace of looks that are lost one after the other, as
	// on an instance that is slow.
	maxGrace = 320 * time.Millisecond
	// waryTime is how long a lost order makes looks wary.
	waryTime = 2 * time.Second
)

// PollTimeouts returns how long a look may wait for an end, and how long beyond
// that its answer may take.
func (c *Core) PollTimeouts(now time.Time) (wait, grace time.Duration) {
	if c.lostAt.IsZero() || now.Sub(c.lostAt) > waryTime {
		return calmWait, calmGrace
	}
	grace = waryGrace
	for range c.lostLooks {
		grace = min(grace*2, maxGrace)
	}
	return waryWait, grace
}

// lost takes note of an order without an answer.
func (c *Core) lost(now time.Time) { c.lostAt = now }
