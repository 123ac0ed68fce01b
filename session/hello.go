package session

import (
	"time"

	"github.com/figring/figring/work"
)

// Claim is a run that an entry had placed on a sidecar before the connection was
// lost or the sidecar restarted.
type Claim struct {
	Task work.TaskKey
	// Attempt is as in StartTask.
	Attempt int
	// Epoch is as in StartTask, at the time of the order.
	Epoch Epoch
	// Route is the name of the job's route.
	Route    string
	Need     work.Resources
	Estimate time.Duration
	// Stored means that the task's job is in the job store.
	Stored bool
}

// HelloRequest opens a session. It must be the first call of a session on its
// connection.
type HelloRequest struct {
	Entry Peer
	// Sidecar is the name of the instance that the request is meant for.
	Sidecar string
	// Claims are all runs that the entry believes to be at the sidecar. The
	// sidecar stops the entry's other runs.
	Claims []Claim
	// After, AckedUpTo and Unstored are as in PollRequest, for the incarnation of the
	// sidecar that Boot names.
	After     uint64
	AckedUpTo uint64
	Unstored  []uint64
	// Boot is the newest incarnation of the sidecar that the entry had a session
	// with.
	Boot string
	// StoredJobsPossible means that stored jobs may exist in the system: some do,
	// or the entry has not been able to find out yet.
	StoredJobsPossible bool
	// StoredEnds are the latest ends that earlier processes of the sidecar have told the
	// entry and that the entry has stored: no other run of these attempts is stored.
	StoredEnds []TaskEnd
	// Minion is the sidecar's minion as the entry last knew it.
	Minion Minion
}

// HelloReply accepts a session.
type HelloReply struct {
	Sidecar Peer
	Stamp   Stamp
}
