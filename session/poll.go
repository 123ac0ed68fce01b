package session

import (
	"time"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/work"
)

// PollRequest waits for news. It is also the heartbeat of the session.
type PollRequest struct {
	Echo Stamp
	// After is the number of the newest event that the entry has heard.
	After uint64
	// AckedUpTo is the number up to which events need not be kept for the entry any
	// more: what it has to store of them is stored.
	AckedUpTo uint64
	// Wait bounds the time until the reply.
	Wait time.Duration
	// Sidecars is the number of sidecars that the entry knows.
	Sidecars int
	// SnapshotVersion is the newest version that the entry knows; Snapshot is
	// set when the sidecar was seen to know only an older one.
	SnapshotVersion int64
	Snapshot        *manifest.Snapshot
}

// PollReply carries the events after PollRequest.After in order.
type PollReply struct {
	Stamp           Stamp
	Events          []Event
	State           State
	SnapshotVersion int64
	Snapshot        *manifest.Snapshot
	Entries         []Peer
	// Orphans are tasks whose ends the sidecar keeps and nobody has asked for.
	// The entry finds out whether they are stored.
	Orphans []work.TaskKey
}

// Event is the end of a run, or the proof that there never is one.
type Event struct {
	// Number rises over all events of a life of the sidecar.
	Number uint64
	Task   work.TaskKey
	End    work.End
	// RunTime is the time that the run took, as far as it is known.
	RunTime time.Duration
	// Checkpoint is the newest of the task that the sidecar knows; empty for none.
	Checkpoint work.Checkpoint
}
