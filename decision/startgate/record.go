package startgate

import (
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// record describes a started task. There may be 100,000 records, so to save
// memory the fields that only a running task needs are in activeRun, and the
// records of a job form a linked list instead of a slice per job.
type record struct {
	ref   model.TaskRef
	entry model.Incarnation
	// startOffset is the time of the start relative to records.epoch.
	startOffset time.Duration
	// next is the next record of the same job.
	next *record
	// result is nil if there is no result or if it was dropped.
	result *model.TaskResult
	// run is nil once the task has ended.
	run     *activeRun
	attempt int32
	done    bool
}

// activeRun holds the part of a record that is needed only while the task runs.
type activeRun struct {
	id        uint64
	queueWait time.Duration
	waiters   []uint64
	// prior is the record of the previous attempt. It is restored if the
	// minion is known not to have run this attempt.
	prior *record
}

func (r *record) running() bool { return r.run != nil }

func (r *record) phase() wire.TaskPhase {
	switch {
	case r.running():
		return wire.PhaseStarted
	case r.done:
		return wire.PhaseDone
	}
	return wire.PhaseUnknown
}

// attachEnd returns the End of an Attach call for a task that has ended. A
// completed task whose result was dropped is reported as unknown, like one for
// which no response was received.
func (r *record) attachEnd(id uint64) End {
	if r.result != nil {
		return End{ID: id, Status: wire.RunDone, Result: *r.result}
	}
	return End{ID: id, Status: wire.RunUnknown}
}

func (r *record) wireRecord() wire.TaskRecord {
	out := wire.TaskRecord{Ref: r.ref, Entry: r.entry, Phase: r.phase()}
	if r.result != nil {
		out.HasResult = true
		out.Result = *r.result
	}
	return out
}
