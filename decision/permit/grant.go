package permit

import "time"

// Grant returns the duration of a permit that an entry issues at now. The permit
// ends when the entry's session expires or when its copy of the bundle stops being
// fresh, whichever is earlier. The duration is zero when the zone or the target is
// closed.
func Grant(sessionExpiry, bundleFreshUntil time.Time, zoneOpen, targetOpen bool, now time.Time) time.Duration {
	if !zoneOpen || !targetOpen {
		return 0
	}
	end := sessionExpiry
	if bundleFreshUntil.Before(end) {
		end = bundleFreshUntil
	}
	return max(end.Sub(now), 0)
}
