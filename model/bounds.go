package model

import "time"

// The bounds in time that the promises rest on. They are compiled in, because
// two processes with different values would break each other's proofs.
const (
	// SessionTTL is the life of an entry's lease, counted on the holder's
	// monotonic clock from before the renewal was sent.
	SessionTTL = 4 * time.Second
	// SessionRenewal is the interval between two renewals.
	SessionRenewal = 1 * time.Second
	// ClockMargin covers the drift between two machines' clock rates over a
	// lease. Whoever takes a lease over waits SessionTTL + ClockMargin.
	ClockMargin = 250 * time.Millisecond
	// BundleTTL is how long a process may act on a bundle, counted from before
	// the read of it was sent.
	BundleTTL = 2500 * time.Millisecond
	// BundlePoll is the interval between two reads of the bundle by an entry.
	BundlePoll = 500 * time.Millisecond
	// Retention is how long a resubmission is recognised, counted from the
	// creation time inside its key. An older key is refused.
	Retention = 10 * time.Minute
	// KeySkew is how far a key's creation time may lie in the future.
	KeySkew = 30 * time.Second
)
