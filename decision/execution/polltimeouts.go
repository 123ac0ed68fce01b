package execution

import "time"

const (
	// pollWait is how long a poll waits for an end while all calls are answered. It
	// is also the interval at which the lease is renewed.
	pollWait  = 120 * time.Millisecond
	pollGrace = 100 * time.Millisecond
	// The short times are used while calls go unanswered: an end that a lost poll
	// would have reported is reported by the next one soon.
	shortPollWait  = 25 * time.Millisecond
	shortPollGrace = 20 * time.Millisecond
	// maxShortPollGrace bounds the grace time, which doubles with each failed poll
	// so that a slow instance gets more time.
	maxShortPollGrace = 320 * time.Millisecond
	// shortPollPeriod is how long polls stay short after an unanswered call.
	shortPollPeriod = 2 * time.Second
)

// PollTimeouts returns how long a poll may wait for an end, and how long beyond
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

// recordUnanswered records a call without an answer.
func (c *Core) recordUnanswered(now time.Time) { c.unansweredAt = now }
