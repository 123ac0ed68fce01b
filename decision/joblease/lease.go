package joblease

import "time"

// Lease is an entry's own view of its ownership of stored jobs. The zero value is a
// lease that was never renewed.
type Lease struct{ sentAt time.Time }

// Renewed records a successful renewal that was sent at sentAt. One that is confirmed
// out of order never shortens the lease.
func (l *Lease) Renewed(sentAt time.Time) {
	if sentAt.After(l.sentAt) {
		l.sentAt = sentAt
	}
}

// End returns until when the entry owns its jobs; the zero time for a lease that was never
// renewed.
func (l *Lease) End() time.Time {
	if l.sentAt.IsZero() {
		return time.Time{}
	}
	return l.sentAt.Add(TTL)
}

// Valid reports whether the entry still owns its jobs at now: no other entry can have
// taken them over.
func (l *Lease) Valid(now time.Time) bool {
	return !now.After(l.End())
}
