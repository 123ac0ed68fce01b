package jobstore

import (
	"sync/atomic"

	"github.com/figring/figring/store"
	"github.com/figring/figring/work"
)

// WriteResult is the outcome of a change.
type WriteResult struct {
	// Written means that the change is stored. If it is false, nothing was written: a
	// condition of the change did not hold, unless Rejected is true.
	Written bool
	// Rejected means that the table does not accept the change, whatever its state.
	Rejected bool
	// Version is the version of the first row in the transaction. The platform's
	// table gives the same version to all rows that a transaction sets.
	Version int64
}

// Change is one conditional write of the rows of a job. The writer retries it
// until the outcome is known.
type Change struct {
	id         work.JobID
	conditions []store.Condition
	writes     []store.Write
	// parts is the number of parts of a new job.
	parts int
	// done is called once with the outcome, unless the change is abandoned or the
	// writer stops first.
	done  func(WriteResult)
	phase atomic.Int32
}

// The phases of a change.
const (
	phaseQueued int32 = iota
	phaseSent
	phaseAbandoned
)

// ID returns the ID of the job that the change writes.
func (c *Change) ID() work.JobID { return c.id }

// Parts returns the number of parts of a new job, for Progress.Parts of later changes.
func (c *Change) Parts() int { return c.parts }

// Abandon cancels a queued change. It reports false when the change is already
// being written, and may therefore be stored.
func (c *Change) Abandon() bool { return c.phase.CompareAndSwap(phaseQueued, phaseAbandoned) }

// Create returns a change that stores a new job. It is not written if the job is
// already open or has a stored end. The error is ErrTooLarge for a job that exceeds the
// limits, or whose progress might.
func Create(accepted AcceptedJob, progress Progress, limits Limits, done func(WriteResult)) (*Change, error) {
	id := accepted.Job.ID
	if !limits.fitsProgress(&accepted.Job, accepted.Route.Attempts) {
		return nil, ErrTooLarge
	}
	rows, parts := specRows(accepted, limits)
	progress.Parts = parts
	change := &Change{
		id: id,
		conditions: []store.Condition{
			{Key: openPrefix + string(id)},
			{Key: donePrefix + string(id)},
		},
		writes: append([]store.Write{{Key: openPrefix + string(id), Value: encode(progress)}}, rows...),
		parts:  parts,
		done:   done,
	}
	if !change.fitsTxn() {
		return nil, ErrTooLarge
	}
	return change, nil
}

// SaveProgress returns a change that stores the progress of an open job if the
// row of the job has the given version. A takeover is such a change, with the new
// owner in the progress.
func SaveProgress(id work.JobID, version int64, progress Progress, done func(WriteResult)) *Change {
	return &Change{
		id:         id,
		conditions: []store.Condition{{Key: openPrefix + string(id), Version: version}},
		writes:     []store.Write{{Key: openPrefix + string(id), Value: encode(progress)}},
		done:       done,
	}
}

// End returns a change that replaces the rows of an open job by the row of its end
// if the open row has the given version. The job has the given number of parts.
func End(id work.JobID, version int64, parts int, end JobEnd, done func(WriteResult)) *Change {
	return &Change{
		id:         id,
		conditions: []store.Condition{{Key: openPrefix + string(id), Version: version}},
		writes: append([]store.Write{
			{Key: donePrefix + string(id), Value: encode(end)},
			{Key: openPrefix + string(id), Delete: true},
		}, deleteSpec(id, parts)...),
		done: done,
	}
}

// DeleteEnd returns a change that deletes the stored end of a job. It is
// unconditional.
func DeleteEnd(id work.JobID, done func(WriteResult)) *Change {
	return &Change{id: id, writes: []store.Write{{Key: donePrefix + string(id), Delete: true}}, done: done}
}

// opCount returns the number of conditions and writes that the change adds to a
// transaction.
func (c *Change) opCount() int { return len(c.conditions) + len(c.writes) }
