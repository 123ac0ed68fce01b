package permit

import "time"

// Grant returns how long a permit lasts that an entry gives at now. It ends
// with the entry's session or with its right to act on the bundle, whichever
// is earlier. A closed zone or target gets nothing.
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
