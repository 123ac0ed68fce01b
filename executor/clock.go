package executor

import "time"

// Leases are measured with the monotonic clock of the Go runtime. It does not
// advance while the instance is suspended, which can only shorten a lease.

// grantLease returns the end of a lease that begins now, on the minion's clock.
// It returns 0 when that clock is not known.
func (e *Executor) grantLease() int64 {
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

func (e *Executor) leasesExpired() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Lapsed(time.Now())
}
