package jobstore

import (
	"sync/atomic"

	"github.com/figring/figring/store"
	"github.com/figring/figring/work"
)

// WriteResult is what became of a change.
type WriteResult struct {
	// Written means that the change is stored. Otherwise the job is in another
	// state than the change was made for, and nothing was written.
	Written bool
	// Version is that of the rows written.
	Version int64
}

// Change is one write of a job. Its outcome is always found out, however long
// that takes.
type Change struct {
	id         work.JobID
	conditions []store.Condition
	writes     []store.Write
	// done is called once, unless the change is abandoned or the writer ends.
	done  func(WriteResult)
	phase atomic.Int32
}

// The phases of a change.
const (
	phaseQueued int32 = iota
	phaseSent
	phaseAbandoned
)

// ID returns the job that the change is of.
func (c *Change) ID() work.JobID { return c.id }

// Abandon takes the change back. It reports false when the change was sent
// before: it may be stored then.
func (c *Change) Abandon() bool { return c.phase.CompareAndSwap(phaseQueued, phaseAbandoned) }

// Create stores a new job. It is not written when the job is known.
func Create(accepted AcceptedJob, progress Progress, done func(WriteResult)) *Change {
	id := accepted.Job.ID
	return &Change{
		id: id,
		conditions: []store.Condition{
			{Key: openPrefix + string(id)},
			{Key: donePrefix + string(id)},
		},
		writes: []store.Write{
			{Key: openPrefix + string(id), Value: encode(progress)},
			{Key: specPrefix + string(id), Value: encode(accepted)},
		},
		done: done,
	}
}

// SaveProgress stores the progress of an open job whose row has the version. A new
// owner takes the job over by it.
func SaveProgress(id work.JobID, version int64, progress Progress, done func(WriteResult)) *Change {
	return &Change{
		id:         id,
		conditions: []store.Condition{{Key: openPrefix + string(id), Version: version}},
		writes:     []store.Write{{Key: openPrefix + string(id), Value: encode(progress)}},
		done:       done,
	}
}

// End stores the end of an open job whose row has the version.
func End(id work.JobID, version int64, end JobEnd, done func(WriteResult)) *Change {
	return &Change{
		id:         id,
		conditions: []store.Condition{{Key: openPrefix + string(id), Version: version}},
		writes: []store.Write{
			{Key: donePrefix + string(id), Value: encode(end)},
			{Key: openPrefix + string(id), Delete: true},
			{Key: specPrefix + string(id), Delete: true},
		},
		done: done,
	}
}

// DeleteEnd drops the ending of a job.
func DeleteEnd(id work.JobID, done func(WriteResult)) *Change {
	return &Change{id: id, writes: []store.Write{{Key: donePrefix + string(id), Delete: true}}, done: done}
}

func (c *Change) opCount() int { return len(c.conditions) + len(c.writes) }
