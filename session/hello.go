package session

import (
	"time"

	"github.com/figring/figring/work"
)

// Claim is a run that an entry placed at a sidecar before the connection was
// lost, or before the sidecar was restarted.
type Claim struct {
	Task     work.TaskKey
	Need     work.Resources
	Estimate time.Duration
	// Kept means that the task's job is stored.
	Kept bool
}

// HelloRequest opens a session. It must be the first call on a connection.
type HelloRequest struct {
	Entry Peer
	// Sidecar is the name of the instance that the entry means to reach.
	Sidecar string
	// Claims are all runs that the entry believes to be at the sidecar. Runs
	// of it that are not among them are stopped.
	Claims []Claim
	// After and Noted are as in PollRequest, for the sidecar's present life as
	// far as the entry knows it.
	After uint64
	Noted uint64
	// Boot is the life of the sidecar that After and Noted belong to.
	Boot string
	// KeepsJobs means that there may be stored jobs in the system: there are, or
	// the entry has not been able to find out yet.
	KeepsJobs bool
	// Minion is what the entry last knew about the sidecar's minion.
	Minion Minion
}

// HelloReply accepts a session.
type HelloReply struct {
	Sidecar Peer
	Stamp   Stamp
}
