package ownership

import (
	"time"

	"github.com/figring/figring/model"
)

// Lease is the holder's view of its own session. Its life is counted from
// before the renewal was sent, so that it always ends before an observer that
// saw the renewal's effect can call the session expired. The zero value is a
// lease that was never granted.
type Lease struct {
	expiry time.Time
}

// Renewed records that the renewal sent at sentAt took effect. A confirmation
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

// Valid reports whether the lease covers now.
func (l *Lease) Valid(now time.Time) bool {
	return now.Before(l.expiry)
}

// Invalidate ends the lease for good reasons of the holder's own, such as the loss
// or the deletion of its session.
func (l *Lease) Invalidate() {
	l.expiry = time.Time{}
}
