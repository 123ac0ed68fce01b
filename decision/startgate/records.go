package startgate

import (
	"slices"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// recordRetention is how long a record is kept after the start of its task. A
// key may be dated up to KeySkew in the future and is refused Retention after
// that date.
const recordRetention = model.Retention + model.KeySkew

// records holds the records of started tasks. Dropping a record advances
// completeSince: a missing record proves that a task was not started only if
// the task was claimed after completeSince.
type records struct {
	// byKey holds the head of each job's linked list of records, the most
	// recently added first.
	byKey map[model.JobKey]*record
	count int
	// byStart lists the records in the order of their starts, and withResult
	// those with a result in the order of their ends. Both may still contain
	// records that were removed, and withResult records whose results were
	// dropped.
	byStart       []*record
	withResult    []*record
	epoch         time.Time
	completeSince time.Time
	limit         int
	resultBytes   int
	resultLimit   int
	interned      internTable
}

func newRecords(settings Settings, now time.Time) records {
	return records{
		byKey:         make(map[model.JobKey]*record),
		epoch:         now,
		completeSince: now,
		limit:         settings.RecordLimit,
		resultLimit:   settings.ResultBytes,
		interned:      make(internTable),
	}
}

func (r *records) get(ref model.TaskRef) *record {
	for rec := r.byKey[ref.Key]; rec != nil; rec = rec.next {
		if rec.ref.Index == ref.Index {
			return rec
		}
	}
	return nil
}

// add stores the record of a task that starts now, replacing that of an earlier
// attempt.
func (r *records) add(rec *record, now time.Time) {
	rec.ref.Key.Caller = r.interned.intern(rec.ref.Key.Caller)
	rec.entry = model.Incarnation(r.interned.intern(string(rec.entry)))
	rec.startOffset = now.Sub(r.epoch)
	r.put(rec)
}

func (r *records) put(rec *record) {
	if existing := r.get(rec.ref); existing != nil {
		r.unlink(existing)
	}
	rec.next = r.byKey[rec.ref.Key]
	r.byKey[rec.ref.Key] = rec
	r.count++
	r.byStart = append(r.byStart, rec)
}

// unlink removes a record without changing completeSince.
func (r *records) unlink(rec *record) {
	r.count--
	head := r.byKey[rec.ref.Key]
	switch {
	case head != rec:
		for head.next != rec {
			head = head.next
		}
		head.next = rec.next
	case rec.next != nil:
		r.byKey[rec.ref.Key] = rec.next
	default:
		delete(r.byKey, rec.ref.Key)
	}
	rec.next = nil
}

// keepResult stores a result, then drops the oldest results while the total
// size of the bodies exceeds resultLimit.
func (r *records) keepResult(rec *record, result model.TaskResult) {
	result.Worker = r.interned.intern(result.Worker)
	rec.result = &result
	r.resultBytes += len(result.Body)
	r.withResult = append(r.withResult, rec)
	for r.resultBytes > r.resultLimit && len(r.withResult) > 0 {
		oldest := r.withResult[0]
		r.withResult[0] = nil
		r.withResult = r.withResult[1:]
		r.dropResult(oldest)
	}
}

func (r *records) dropResult(rec *record) {
	if rec == nil || rec.result == nil {
		return
	}
	r.resultBytes -= len(rec.result.Body)
	rec.result = nil
}

// trim drops records older than recordRetention and the oldest ones beyond the
// limit. It stops at the first record of a running task, which is never
// dropped, so the limit is exceeded by at most the records added while one task
// runs.
func (r *records) trim(now time.Time) {
	r.trimWithResult()
	for len(r.byStart) > 0 {
		oldest := r.byStart[0]
		if r.get(oldest.ref) == oldest {
			young := now.Sub(r.epoch)-oldest.startOffset < recordRetention
			if oldest.running() || young && r.count <= r.limit {
				return
			}
			r.drop(oldest)
		}
		r.byStart[0] = nil
		r.byStart = r.byStart[1:]
	}
}

// drop removes a record and advances completeSince to the start of its task.
func (r *records) drop(rec *record) {
	r.dropResult(rec)
	r.unlink(rec)
	if at := r.epoch.Add(rec.startOffset); at.After(r.completeSince) {
		r.completeSince = at
	}
}

// trimWithResult removes the leading elements of withResult whose results were
// dropped.
func (r *records) trimWithResult() {
	for len(r.withResult) > 0 && r.withResult[0].result == nil {
		r.withResult[0] = nil
		r.withResult = r.withResult[1:]
	}
}

// list returns the records of a job in the order in which its tasks started.
func (r *records) list(key model.JobKey) []wire.TaskRecord {
	var list []wire.TaskRecord
	for rec := r.byKey[key]; rec != nil; rec = rec.next {
		list = append(list, rec.wireRecord())
	}
	slices.Reverse(list)
	return list
}
