package joblease

import "time"

// Lease is an entry's hold on its own stored jobs.
type Lease struct{ sentAt time.Time }

// Renewed takes note of a renewal that succeeded and was sent at the time.
func (l *Lease) Renewed(sentAt time.Time) {
	if sentAt.After(l.sentAt) {
		l.sentAt = sentAt
	}
}

// Valid reports whether no other entry may have taken the jobs over.
func (l *Lease) Valid(now time.Time) bool {
	return !l.sentAt.IsZero() && now.Sub(l.sentAt) <= TTL
}
