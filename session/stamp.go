package session

import "time"

// Stamp is a point in time on one sidecar's boot clock, in nanoseconds. Nobody
// but that sidecar reads it.
type Stamp int64

// StampOf returns the stamp of a point in time.
func StampOf(at time.Time) Stamp { return Stamp(at.UnixNano()) }

// Time returns the point in time that the stamp was made from.
func (s Stamp) Time() time.Time { return time.Unix(0, int64(s)) }
