package wire

import "time"

// Permit is an entry's permission for a sidecar to start the entry's tasks.
// It rests on the entry's own lease and on its last read of the bundle.
//
// The sidecar numbers the messages it sends to an entry and keeps the time at
// which each was sent. A permit names the last message that the entry had
// received before it computed TTL, so the permit ends TTL after the sidecar
// sent that message, however long the permit was on its way.
type Permit struct {
	// Echo is the number of the sidecar's message.
	Echo uint64
	// TTL is zero or less when the entry grants nothing.
	TTL time.Duration
	// BundleVersion is the version of the bundle that the permit rests on. A
	// sidecar never goes back to a permit of a lower version from any entry.
	BundleVersion int64
}
