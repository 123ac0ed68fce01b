package startgate

import (
	"slices"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// keepFor is how long a record is kept after its start. A key that was created
// up to KeySkew in the future is refused Retention after that time.
const keepFor = model.Retention + model.KeySkew

// records holds what was started. A dropped record moves since: whoever needs
// the proof that a task was not started compares since with the time of its
// claim.
type records struct {
	// byKey leads to the first record of each job.
	byKey map[model.JobKey]*record
	count int
	// order lists the records by start, and kept those with a result by end.
	// Either may still list a record that is gone.
	order  []*record
	kept   []*record
	base   time.Time
	since  time.Time
	limit  int
	bytes  int
	budget int
	names  names
}

func newRecords(settings Settings, now time.Time) records {
	return records{
		byKey:  make(map[model.JobKey]*record),
		base:   now,
		since:  now,
		limit:  settings.RecordLimit,
		budget: settings.ResultBytes,
		names:  make(names),
	}
}

// get returns the record of a task, or nil.
func (r *records) get(ref model.TaskRef) *record {
	for one := r.byKey[ref.Key]; one != nil; one = one.next {
		if one.ref.Index == ref.Index {
			return one
		}
	}
	return nil
}

// started puts the record of a start in the place of an earlier one.
func (r *records) started(one *record, now time.Time) {
	one.ref.Key.Caller = r.names.share(one.ref.Key.Caller)
	one.entry = model.Incarnation(r.names.share(string(one.entry)))
	one.startedAt = now.Sub(r.base)
	r.put(one)
}

func (r *records) put(one *record) {
	if held := r.get(one.ref); held != nil {
		r.unlink(held)
	}
	one.next = r.byKey[one.ref.Key]
	r.byKey[one.ref.Key] = one
	r.count++
	r.order = append(r.order, one)
}

// unlink forgets a record. It leaves since alone.
func (r *records) unlink(one *record) {
	r.count--
	head := r.byKey[one.ref.Key]
	switch {
	case head != one:
		for head.next != one {
			head = head.next
		}
		head.next = one.next
	case one.next != nil:
		r.byKey[one.ref.Key] = one.next
	default:
		delete(r.byKey, one.ref.Key)
	}
	one.next = nil
}

func (r *records) keepResult(one *record, result model.TaskResult) {
	result.Worker = r.names.share(result.Worker)
	one.result = &result
	r.bytes += len(result.Body)
	r.kept = append(r.kept, one)
	for r.bytes > r.budget && len(r.kept) > 0 {
		oldest := r.kept[0]
		r.kept[0] = nil
		r.kept = r.kept[1:]
		r.dropResult(oldest)
	}
}

func (r *records) dropResult(one *record) {
	if one == nil || one.result == nil {
		return
	}
	r.bytes -= len(one.result.Body)
	one.result = nil
}

// trim drops records that are older than keepFor, and the oldest beyond the
// limit. It never drops a task that runs: it stops there, so that the records
// exceed the limit by at most what one run of a task lets in.
func (r *records) trim(now time.Time) {
	r.trimKept()
	for len(r.order) > 0 {
		oldest := r.order[0]
		if r.get(oldest.ref) == oldest {
			young := now.Sub(r.base)-oldest.startedAt < keepFor
			if oldest.running() || young && r.count <= r.limit {
				return
			}
			r.drop(oldest)
		}
		r.order[0] = nil
		r.order = r.order[1:]
	}
}

func (r *records) drop(one *record) {
	r.dropResult(one)
	r.unlink(one)
	if at := r.base.Add(one.startedAt); at.After(r.since) {
		r.since = at
	}
}

// trimKept lets go of the oldest records whose results were dropped.
func (r *records) trimKept() {
	for len(r.kept) > 0 && r.kept[0].result == nil {
		r.kept[0] = nil
		r.kept = r.kept[1:]
	}
}

// list describes the records of a job in the order of their starts.
func (r *records) list(key model.JobKey) []wire.TaskRecord {
	var list []wire.TaskRecord
	for one := r.byKey[key]; one != nil; one = one.next {
		list = append(list, one.describe())
	}
	slices.Reverse(list)
	return list
}
