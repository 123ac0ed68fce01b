package execution

import "time"

// LeaseClock estimates the minion's clock from its answers and keeps the latest
// end of all leases granted on it. The times that it is passed may stand still
// while the instance is suspended, which only makes leases shorter.
type LeaseClock struct {
	reading int64
	at      time.Time
	// latestLeaseEnd is the latest end of a granted lease, on the minion's clock.
	latestLeaseEnd int64
	// observed is true once there was a reading, of any incarnation of the minion.
	observed bool
}

const (
	// maxClockLag is the largest share by which the minion's clock may run slow.
	maxClockLag = 0.02
	// lapseMargin is the time that a minion may take to end runs whose lease has
	// lapsed.
	lapseMargin = 50 * time.Millisecond
)

// Observe records a clock reading that has just arrived. At the first one a lease may
// be in force that an earlier process has granted.
func (c *LeaseClock) Observe(now time.Time, reading int64) {
	if reading <= 0 {
		return
	}
	c.reading = reading
	c.at = now
	if !c.observed {
		c.observed = true
		c.latestLeaseEnd = reading + Lease.Milliseconds()
	}
}

// Reset drops the readings and leases of a former minion incarnation.
func (c *LeaseClock) Reset() { *c = LeaseClock{observed: c.observed} }

// Grant returns the end of a lease that begins now, on the minion's clock, or 0
// if no reading of the clock is known.
func (c *LeaseClock) Grant(now time.Time) int64 {
	if c.reading == 0 {
		return 0
	}
	end := c.reading + (now.Sub(c.at) + Lease).Milliseconds()
	c.latestLeaseEnd = max(c.latestLeaseEnd, end)
	return end
}

// Lapsed reports whether every granted lease has certainly lapsed, however long
// the calls that carried them were delayed.
func (c *LeaseClock) Lapsed(now time.Time) bool {
	least := time.Duration(float64(now.Sub(c.at)-lapseMargin) * (1 - maxClockLag))
	return c.reading != 0 && c.reading+least.Milliseconds() > c.latestLeaseEnd
}
