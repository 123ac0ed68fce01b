package executor

import "time"

// The runtime's monotonic clock serves for leases: it stands still while the
// instance is suspended, which only makes a lease shorter.

// grantLease returns the end of a lease that begins now, on the minion's clock.
func (e *Executor) grantLease() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Give(time.Now())
}

func (e *Executor) observeClock(reading int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clock.Observe(time.Now(), reading)
}

func (e *Executor) forgetClock() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clock.Forget()
}

func (e *Executor) leasesExpired() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Lapsed(time.Now())
}
