package executor

import "time"

// The runtime's monotonic clock serves for leases: it stands still while the
// instance is suspended, which only makes a lease shorter.

// giveLease returns the end of a lease that begins now, on the minion's clock.
func (e *Executor) giveLease() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Grant(time.Now())
}

func (e *Executor) observeClock(reading int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clock.Observe(time.Now(), reading)
}

func (e *Executor) forgetClock() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clock.Reset()
}

func (e *Executor) leasesLapsed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Lapsed(time.Now())
}
