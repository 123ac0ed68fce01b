package session

import (
	"time"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/work"
)

// PollRequest is a long poll for events and changes of state. It is also the
// heartbeat of the session.
type PollRequest struct {
	Echo Stamp
	// After is the number of the newest event that the entry has received.
	After uint64
	// AckedUpTo is the number up to which the sidecar need not keep events for
	// the entry any longer: those that have to be stored are stored.
	AckedUpTo uint64
	// Unstored are the numbers, up to AckedUpTo, of events that this entry has no use for and
	// has not stored: an end may still matter to the entry that owns the job now.
	Unstored []uint64
	// NewsAfter is the number of the newest Crash or PoisonTask that the entry has
	// received.
	NewsAfter uint64
	// Poison are tasks that the entry has found to be poison since its last request.
	Poison []PoisonTask
	// Wait bounds the time until the reply.
	Wait time.Duration
	// Sidecars is the number of sidecars that the entry knows.
	Sidecars int
	// SnapshotVersion is the version of the entry's newest snapshot.
	SnapshotVersion int64
	// Snapshot is set only by builds without Zones.
	Snapshot *manifest.Snapshot
	// Zones is set when the sidecar last reported an older snapshot.
	Zones *manifest.Zones
	// ClassLoad is the part of the entry's rate of work that falls to the sidecar; nil if
	// it was sent lately, or without class scheduling.
	ClassLoad ClassLoad
}

// PollReply carries the events after PollRequest.After in ascending order.
type PollReply struct {
	Stamp  Stamp
	Events []Event
	State  State
	// Crashes are the crashes of the minion, and Poison the poison tasks that entries have
	// found, after PollRequest.NewsAfter.
	Crashes []Crash
	Poison  []PoisonTask
	// SnapshotVersion is the version of the sidecar's newest snapshot.
	SnapshotVersion int64
	// Snapshot is set only by builds without Zones.
	Snapshot *manifest.Snapshot
	Entries  []Peer
	// OrphanEnds are ends that the sidecar keeps although no entry has asked for them.
	// The entry finds out whether they are in the job store.
	OrphanEnds []TaskEnd
	// Orphans are the tasks of OrphanEnds, for builds without these.
	Orphans []work.TaskKey
	// ManifestVersion is the version of the sidecar's manifest, 0 for none. An entry
	// that lacks it may send a ManifestRequest.
	ManifestVersion int64
	// Zones is set when the entry's snapshot is older.
	Zones *manifest.Zones
	// ClassLoad is the sum of the rates of work that entries have told the sidecar. It is
	// set if the request has a ClassLoad.
	ClassLoad ClassLoad
}

// Event reports the end of a run, or that there is and will be no such run.
type Event struct {
	// Number increases over all events of one incarnation of the sidecar.
	Number uint64
	Task   work.TaskKey
	End    work.End
	// Attempt is that of the run that ended, as in StartTask; 0 if it is not known. It may be a
	// later one than was ordered, if the minion has seen an attempt that its entry does not
	// know of.
	Attempt int
	// RunTime is the duration of the run, 0 when it is not known.
	RunTime time.Duration
	// Checkpoint is the task's newest checkpoint that the sidecar knows; empty
	// for none.
	Checkpoint work.Checkpoint
}

// SetOrphans sets the ends that no entry has asked for.
func (r *PollReply) SetOrphans(ends []TaskEnd) {
	r.OrphanEnds = ends
	r.Orphans = tasksOf(ends)
}

// AllOrphans returns the ends that no entry has asked for. Builds without OrphanEnds name
// only their tasks.
func (r *PollReply) AllOrphans() []TaskEnd {
	if len(r.OrphanEnds) > 0 {
		return r.OrphanEnds
	}
	return endsOf(r.Orphans)
}

// NewestNews returns the highest number of a crash or poison task in the reply, 0 for none.
func (r *PollReply) NewestNews() uint64 {
	newest := uint64(0)
	for _, crash := range r.Crashes {
		newest = max(newest, crash.Number)
	}
	for _, poison := range r.Poison {
		newest = max(newest, poison.Number)
	}
	return newest
}
