package wire

import (
	"time"

	"github.com/figring/figring/model"
)

// MethodRenew is the method that a sidecar calls at each entry to renew its permit.
const MethodRenew = "Entry.Renew"

// TargetState states whether a sidecar accepts new tasks.
type TargetState string

const (
	// TargetReady means that the sidecar accepts new tasks.
	TargetReady TargetState = "ready"
	// TargetDraining means that the sidecar finishes its running tasks and accepts
	// no new ones.
	TargetDraining TargetState = "draining"
	// TargetEmpty means that no minion has announced itself or that the minion is
	// lost.
	TargetEmpty TargetState = "empty"
)

// Target describes a sidecar and its minion.
type Target struct {
	Sidecar     string
	Incarnation model.Incarnation
	Zone        string
	Rack        string
	Worker      string
	// Address is the "ip:port" at which the sidecar serves the Sidecar methods.
	Address     string
	State       TargetState
	Slots       int
	MemoryBytes int64
}

// Load is the load that a sidecar reports with each message.
type Load struct {
	Running int
	Queued  int
	// Sequence increases with every report, so that receivers can drop a report
	// that arrives after a newer one.
	Sequence uint64
}

// RenewRequest requests a permit and reports the state and the load of the sidecar.
type RenewRequest struct {
	Target Target
	Load   Load
	// MessageNumber is the number of this message to the entry; see Permit.
	MessageNumber uint64
	// HasQueued reports whether tasks of the entry are queued at the sidecar.
	HasQueued bool
	// EntriesVersion is the version of the sidecar's list of entries, or zero if the
	// list was not received from an entry.
	EntriesVersion int64
}

// EntryInfo describes a live entry.
type EntryInfo struct {
	Incarnation model.Incarnation
	Name        string
	Zone        string
	// Address is the "ip:port" at which the entry serves the Entry methods.
	Address string
}

// RenewReply grants a permit, or refuses it with a TTL of zero.
type RenewReply struct {
	Entry  model.Incarnation
	Permit Permit
	// Entries is the list of live entries, or nil if the sidecar's list is current.
	Entries        []EntryInfo
	EntriesVersion int64
	// RetryAfter is the minimum time until the next renewal, if the entry requests
	// fewer renewals.
	RetryAfter time.Duration
}
