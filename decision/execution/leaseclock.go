package execution

import "time"

// LeaseClock estimates the minion's own clock from its answers, and keeps the
// newest end of a lease that was given out on it. The times it is given may
// stand still while the instance is suspended: leases only get shorter by that.
type LeaseClock struct {
	reading int64
	at      time.Time
	// latestLeaseEnd is the latest end of a lease, on the minion's clock.
	latestLeaseEnd int64
}

const (
	// maxClockLag is how much slower than time a minion's clock may run.
	maxClockLag = 0.02
	// lapseMargin is what a minion may take to end runs whose lease lapsed.
	lapseMargin = 50 * time.Millisecond
)

// Observe takes a reading that has just arrived.
func (c *LeaseClock) Observe(now time.Time, reading int64) {
	if reading <= 0 {
		return
	}
	c.reading = reading
	c.at = now
}

// Reset drops what was read of a former incarnation.
func (c *LeaseClock) Reset() { *c = LeaseClock{} }

// Grant returns the end of a lease that begins now, on the minion's clock; 0
// when the clock is not known.
func (c *LeaseClock) Grant(now time.Time) int64 {
	if c.reading == 0 {
		return 0
	}
	end := c.reading + (now.Sub(c.at) + Lease).Milliseconds()
	c.latestLeaseEnd = max(c.latestLeaseEnd, end)
	return end
}

// Lapsed reports whether every lease that was given out has lapsed for
// certain, however the orders that carried them were held up.
func (c *LeaseClock) Lapsed(now time.Time) bool {
	least := time.Duration(float64(now.Sub(c.at)-lapseMargin) * (1 - maxClockLag))
	return c.reading != 0 && c.reading+least.Milliseconds() > c.latestLeaseEnd
}
