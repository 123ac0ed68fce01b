package ownership

import (
	"time"

	"github.com/figring/figring/model"
)

// Lease is an entry's view of its own session. Its duration counts from before the
// renewal was sent, so that the lease always ends before an observer that read the
// renewed row can treat the session as expired. The zero value is a lease that was
// never renewed.
type Lease struct {
	expiry time.Time
}

// Renewed records the success of the renewal that was sent at sentAt. A confirmation
// that arrives out of order never shortens the lease.
func (l *Lease) Renewed(sentAt time.Time) {
	expiry := sentAt.Add(model.SessionTTL)
	if expiry.After(l.expiry) {
		l.expiry = expiry
	}
}

// Expiry returns the end of the lease, or the zero time when there is none.
func (l *Lease) Expiry() time.Time {
	return l.expiry
}

// Valid reports whether the lease has not ended at now.
func (l *Lease) Valid(now time.Time) bool {
	return now.Before(l.expiry)
}

// Invalidate ends the lease before its expiry, for example when the session was lost
// or deleted.
func (l *Lease) Invalidate() {
	l.expiry = time.Time{}
}
