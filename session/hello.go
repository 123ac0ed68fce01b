package session

import (
	"time"

	"github.com/figring/figring/work"
)

// Claim is a run that an entry placed at a sidecar before the connection was
// lost, or before the sidecar was restarted.
type Claim struct {
	Task     work.TaskKey
	Need     work.Room
	Estimate time.Duration
}

// HelloRequest opens a session. It must be the first call on a connection.
type HelloRequest struct {
	Entry Peer
	// Sidecar is the name of the instance that the entry means to reach.
	Sidecar string
	// Claims are all runs that the entry believes to be at the sidecar. Runs
	// of it that are not among them are stopped.
	Claims []Claim
	// After is the number of the newest event that the entry has taken note of
	// in the sidecar's present life, as far as it knows.
	After uint64
	// Boot is the life of the sidecar that After belongs to.
	Boot string
	// Minion is what the entry last knew about the sidecar's minion.
	Minion Minion
}

// HelloReply accepts a session.
type HelloReply struct {
	Sidecar Peer
	Stamp   Stamp
}
