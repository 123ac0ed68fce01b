// Package boottime reads CLOCK_BOOTTIME, the monotonic clock that also advances
// while the instance is suspended. The Go runtime's monotonic clock stops during
// a suspend, which would make leases and messages look younger than they are.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance booted, as a time.Time. Only the
// difference between two such values from the same instance is meaningful.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every supported kernel has this clock; otherwise fall back to the
		// runtime's clock.
		return time.Now()
	}
	return time.Unix(0, now.Nano())
}
