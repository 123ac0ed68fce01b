package wire

import (
	"time"

	"github.com/figring/figring/model"
)

// MethodRenew is called by a sidecar at each entry that it serves.
const MethodRenew = "Entry.Renew"

// TargetState is what a sidecar says about the intake of new work.
type TargetState string

const (
	// TargetReady means that new work is taken.
	TargetReady TargetState = "ready"
	// TargetDraining means that what was accepted is finished and that nothing
	// more is taken.
	TargetDraining TargetState = "draining"
	// TargetEmpty means that no minion has announced itself.
	TargetEmpty TargetState = "empty"
)

// Target describes a sidecar and the minion beside it.
type Target struct {
	Sidecar     string
	Incarnation model.Incarnation
	Zone        string
	Rack        string
	Worker      string
	// Address is the sidecar's "ip:port" for Sidecar calls.
	Address     string
	State       TargetState
	Slots       int
	MemoryBytes int64
}

// Load is what a sidecar reports of itself on every message.
type Load struct {
	Running int
	Queued  int
	// Sequence grows with every report, so that an older one is dropped.
	Sequence uint64
}

// RenewRequest asks for a permit and reports state and load.
type RenewRequest struct {
	Target Target
	Load   Load
	// MessageNumber numbers the sidecar's messages to this entry; see Permit.
	MessageNumber uint64
	// HasQueued says that tasks of the entry wait at the sidecar for the permit.
	HasQueued bool
	// EntriesVersion is the version of the list of entries that the sidecar has.
	EntriesVersion int64
}

// EntryInfo names a live entry.
type EntryInfo struct {
	Incarnation model.Incarnation
	Name        string
	Zone        string
	// Address is the entry's "ip:port" for Entry calls.
	Address string
}

// RenewReply grants a permit, or refuses it with a TTL of zero.
type RenewReply struct {
	Entry  model.Incarnation
	Permit Permit
	// Entries is nil when the sidecar's list is current.
	Entries        []EntryInfo
	EntriesVersion int64
	// RetryAfter is set when the entry wants fewer renewals.
	RetryAfter time.Duration
}
