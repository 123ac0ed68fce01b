// Package boottime reads the clock that also counts the time for which the
// instance was suspended. The runtime's own monotonic clock stands still then,
// so that the age of a lease or of a message would look too small.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance booted as a point in time. Only
// differences between two of them have a meaning, and only on one instance.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The clock exists on every supported kernel; without it the runtime's
		// clock is the nearest kin.
		return time.Now()
	}
	return time.Unix(0, now.Nano())
}
