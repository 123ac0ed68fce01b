package wire

import "time"

// Permit allows a sidecar to start tasks of the entry that issued it, for a limited
// time. The time depends on the entry's own lease and on its last read of the
// bundle.
//
// The sidecar numbers its messages to an entry and records when it sent each of
// them. A permit echoes the number of the last message that the entry received
// before it computed TTL. The permit ends TTL after the sidecar sent that message,
// regardless of how long the permit was in transit.
type Permit struct {
	// Echo is the number of the last message received from the sidecar.
	Echo uint64
	// TTL is zero or negative if the entry does not grant a permit.
	TTL time.Duration
	// BundleVersion is the version of the bundle that the permit is based on. A
	// sidecar ignores a permit with a lower version than the highest that it has
	// received from any entry.
	BundleVersion int64
}
