package model

import "time"

// The time bounds on which the system's guarantees depend, such as starting a task
// at most once. They are compiled in, because processes with different values would
// draw wrong conclusions about each other's leases.
const (
	// SessionTTL is the duration of an entry's lease, measured on the holder's
	// monotonic clock from before the renewal was sent.
	SessionTTL = 4 * time.Second
	// SessionRenewal is the interval between two renewals.
	SessionRenewal = 1 * time.Second
	// ClockMargin covers the drift between two machines' clock rates over a
	// lease. A process that takes over a lease first waits SessionTTL + ClockMargin.
	ClockMargin = 250 * time.Millisecond
	// BundleTTL is how long a process may use a bundle, measured from before the
	// request that read the bundle was sent.
	BundleTTL = 2500 * time.Millisecond
	// BundlePoll is the interval between two reads of the bundle by an entry.
	BundlePoll = 500 * time.Millisecond
	// Retention is how long a resubmission is recognised, measured from the
	// creation time in its key. An older key is refused.
	Retention = 10 * time.Minute
	// KeySkew is how far in the future a key's creation time may be.
	KeySkew = 30 * time.Second
)
