package session

import "time"

// Stamp is a timestamp on one sidecar's boot clock, in nanoseconds. Only that
// sidecar interprets it; entries echo it.
type Stamp int64

// StampOf converts a time of the boot clock to a timestamp.
func StampOf(at time.Time) Stamp { return Stamp(at.UnixNano()) }

// Time returns the time that was passed to StampOf.
func (s Stamp) Time() time.Time { return time.Unix(0, int64(s)) }
