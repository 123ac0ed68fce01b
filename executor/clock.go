package executor

import (
	"sync"
	"time"

	"github.com/figring/figring/decision/execution"
)

// minionClock estimates the minion's own clock from its answers.
type minionClock struct {
	mu      sync.Mutex
	reading int64
	at      time.Time
}

// observe takes a reading that has just arrived. The runtime's monotonic clock
// serves here: time for which the instance was suspended does not make a lease
// longer.
func (c *minionClock) observe(reading int64) {
	if reading <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
	c.at = time.Now()
}

// forget drops the readings of a former incarnation.
func (c *minionClock) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = 0
}

// lease returns the end of a lease that begins now, on the minion's clock; 0
// when the clock is not known.
func (c *minionClock) lease() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading == 0 {
		return 0
	}
	return c.reading + (time.Since(c.at) + execution.Lease).Milliseconds()
}
