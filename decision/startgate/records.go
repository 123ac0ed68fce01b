package startgate

import (
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// keepFor is how long a record is kept after its start. A key that was created
// up to KeySkew in the future is refused Retention after that time.
const keepFor = model.Retention + model.KeySkew

// dated is a place in the order of starts.
type dated struct {
	ref    model.TaskRef
	serial uint64
	at     time.Time
}

// records holds what was started, oldest first in order. A dropped record
// moves since: whoever needs the proof that a task was not started compares
// since with the time of its claim.
type records struct {
	byRef  map[model.TaskRef]*record
	byKey  map[model.JobKey][]int
	order  []dated
	kept   []dated
	since  time.Time
	serial uint64
	limit  int
	bytes  int
	budget int
}

func newRecords(settings Settings, now time.Time) records {
	return records{
		byRef:  make(map[model.TaskRef]*record),
		byKey:  make(map[model.JobKey][]int),
		since:  now,
		limit:  settings.RecordLimit,
		budget: settings.ResultBytes,
	}
}

func (r *records) started(ref model.TaskRef, one *record) {
	if r.byRef[ref] == nil {
		r.byKey[ref.Key] = append(r.byKey[ref.Key], ref.Index)
	}
	r.serial++
	one.serial = r.serial
	r.byRef[ref] = one
	r.order = append(r.order, dated{ref: ref, serial: one.serial, at: one.startedAt})
}

// restore puts back the record of an earlier attempt. It is dated again,
// because its place in the order may have been passed meanwhile.
func (r *records) restore(ref model.TaskRef, one *record) {
	r.byRef[ref] = one
	r.order = append(r.order, dated{ref: ref, serial: one.serial, at: one.startedAt})
}

// remove forgets a task that provably did not run. It leaves since alone.
func (r *records) remove(ref model.TaskRef) {
	delete(r.byRef, ref)
	indexes := r.byKey[ref.Key]
	for i, index := range indexes {
		if index == ref.Index {
			indexes = append(indexes[:i], indexes[i+1:]...)
			break
		}
	}
	if len(indexes) == 0 {
		delete(r.byKey, ref.Key)
		return
	}
	r.byKey[ref.Key] = indexes
}

func (r *records) keepResult(ref model.TaskRef, one *record, result model.TaskResult, now time.Time) {
	one.hasResult = true
	one.result = result
	r.bytes += len(result.Body)
	r.kept = append(r.kept, dated{ref: ref, serial: one.serial, at: now})
	for r.bytes > r.budget && len(r.kept) > 0 {
		oldest := r.kept[0]
		r.kept = r.kept[1:]
		r.dropResult(r.attempt(oldest))
	}
}

func (r *records) dropResult(one *record) {
	if one == nil || !one.hasResult {
		return
	}
	r.bytes -= len(one.result.Body)
	one.hasResult = false
	one.result = model.TaskResult{}
}

// attempt returns the record of the attempt that was dated, also while a later
// one runs, or nil when it is gone.
func (r *records) attempt(d dated) *record {
	for one := r.byRef[d.ref]; one != nil; one = one.prior {
		if one.serial == d.serial {
			return one
		}
	}
	return nil
}

// trim drops records that are older than keepFor, and the oldest beyond the
// limit. It never drops a task that runs: it stops there, so that the records
// exceed the limit by at most what one run of a task lets in.
func (r *records) trim(now time.Time) {
	for len(r.order) > 0 {
		oldest := r.order[0]
		one := r.byRef[oldest.ref]
		if one == nil || one.serial != oldest.serial {
			r.order = r.order[1:]
			continue
		}
		young := now.Sub(oldest.at) < keepFor
		if one.running() || young && len(r.byRef) <= r.limit {
			return
		}
		r.order = r.order[1:]
		r.dropResult(one)
		r.remove(oldest.ref)
		if oldest.at.After(r.since) {
			r.since = oldest.at
		}
	}
}

func (r *records) list(key model.JobKey) []wire.TaskRecord {
	list := make([]wire.TaskRecord, 0, len(r.byKey[key]))
	for _, index := range r.byKey[key] {
		ref := model.TaskRef{Key: key, Index: index}
		one := r.byRef[ref]
		list = append(list, wire.TaskRecord{Ref: ref, Entry: one.entry, Phase: one.phase, HasResult: one.hasResult, Result: one.result})
	}
	return list
}
