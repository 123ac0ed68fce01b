package startgate

import (
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// record is what is kept of a task that was started. There may be a hundred
// thousand, so that what only a running task needs is apart, and the records
// of a job are a list of their own instead of a slice in a map.
type record struct {
	ref       model.TaskRef
	entry     model.Incarnation
	startedAt time.Duration
	// next is the next record of the same job.
	next *record
	// result is nil when there is none or when it was dropped.
	result *model.TaskResult
	// run is nil once the task has ended.
	run     *run
	attempt int32
	done    bool
}

// run is what is kept of a task while it runs.
type run struct {
	id      uint64
	wait    time.Duration
	waiters []uint64
	// prior is the record of the attempt before. It comes back when this one
	// proves not to have run.
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

// outcome returns the end of a call that asks for an ended task. A done task
// whose result was dropped can't be told from one that never answered.
func (r *record) outcome(id uint64) End {
	if r.result != nil {
		return End{ID: id, Status: wire.RunDone, Result: *r.result}
	}
	return End{ID: id, Status: wire.RunUnknown}
}

func (r *record) describe() wire.TaskRecord {
	told := wire.TaskRecord{Ref: r.ref, Entry: r.entry, Phase: r.phase()}
	if r.result != nil {
		told.HasResult = true
		told.Result = *r.result
	}
	return told
}
