package dedup

import (
	"math"
	"time"

	"github.com/figring/figring/model"
)

// Table knows the keys of an entry's partitions. It is not safe for concurrent
// use: one goroutine owns it.
type Table struct {
	partitions [model.Partitions]partition
	// floor is the end of the newest bucket that may have been forgotten. Keys
	// created before it are refused whatever the wall clock says now.
	floor time.Time

	callers  map[string]string
	claimers []model.Incarnation
	claimer  map[model.Incarnation]uint32

	answerBudget int64
	answerTotal  int64
	answers      []keptAnswer
}

// NewTable returns a table that owns no partition and keeps answers of at most
// answerBudget bytes.
func NewTable(answerBudget int64) *Table {
	return &Table{
		callers:      make(map[string]string),
		claimers:     []model.Incarnation{""},
		claimer:      map[model.Incarnation]uint32{"": 0},
		answerBudget: answerBudget,
	}
}

// BeginLoad takes a partition over. Until Serve its keys are answered Loading,
// because a claim that is not yet read may exist for any of them.
func (t *Table) BeginLoad(p int) {
	t.partitions[p].state = partitionLoading
}

// Serve starts to answer for a partition whose claims are all loaded.
func (t *Table) Serve(p int) {
	t.partitions[p].state = partitionServed
}

// DropPartition stops answering for a partition. Claims loaded from the table
// are forgotten. Jobs of this process stay until they expire, because the new
// owner joins them here; see Lookup.
func (t *Table) DropPartition(p int) {
	t.partitions[p].state = partitionAbsent
	t.partitions[p].dropLoaded()
}

// Submit decides about a submission. After New the key is in state Claiming.
// The record is set for Join, Conflict and Adopt.
func (t *Table) Submit(key model.JobKey, digest uint64, now time.Time) (Verdict, Record) {
	part := &t.partitions[key.Partition()]
	switch part.state {
	case partitionAbsent:
		return NotOwned, Record{}
	case partitionLoading:
		return Loading, Record{}
	}
	if known, ok := part.find(key); ok {
		return t.judgeKnown(known, digest)
	}
	if verdict := t.judgeAge(key, now); verdict != New {
		return verdict, Record{}
	}
	part.put(t.intern(key), entry{digest: digest, state: Claiming})
	return New, Record{State: Claiming, Digest: digest}
}

func (t *Table) judgeKnown(known entry, digest uint64) (Verdict, Record) {
	record := t.record(known)
	if known.digest != digest {
		return Conflict, record
	}
	if known.state == ClaimedElsewhere {
		return Adopt, record
	}
	return Join, record
}

func (t *Table) judgeAge(key model.JobKey, now time.Time) Verdict {
	created := key.Created()
	if created.Before(t.floor) || now.Sub(created) > model.Retention {
		return Expired
	}
	if created.Sub(now) > model.KeySkew {
		return Invalid
	}
	return New
}

// Lookup returns the record of a key whether or not its partition is owned. It
// serves joins by a new owner and questions about a job's status.
func (t *Table) Lookup(key model.JobKey) (Record, bool) {
	found, ok := t.partitions[key.Partition()].find(key)
	return t.record(found), ok
}

// LoadClaim records a claim that was read from the table. It reports false,
// and changes nothing, when this process already knows the key, unless from
// the claim of an entry that had the job before: whoever took it over last has
// it now.
func (t *Table) LoadClaim(key model.JobKey, digest uint64, claimer model.Incarnation, adoptions int) bool {
	part := &t.partitions[key.Partition()]
	later := uint8(min(max(adoptions, 0), math.MaxUint8))
	known, ok := part.find(key)
	if ok && (known.state != ClaimedElsewhere || known.adoptions >= later) {
		return false
	}
	if key.Created().Before(t.floor) {
		return false
	}
	part.put(t.intern(key), entry{digest: digest, claimer: t.claimerNumber(claimer), adoptions: later, state: ClaimedElsewhere})
	return true
}

// Claimed notes that the claim of a key in state Claiming is written.
func (t *Table) Claimed(key model.JobKey) bool {
	return t.move(key, Claiming, Running)
}

// ClaimFailed forgets a key in state Claiming. It may be called only when it is
// proved that the claim was not written and never will be; a claim with an
// unknown outcome stays in state Claiming.
func (t *Table) ClaimFailed(key model.JobKey) bool {
	part := &t.partitions[key.Partition()]
	found, ok := part.find(key)
	if !ok || found.state != Claiming {
		return false
	}
	part.remove(key)
	return true
}

// Adopted notes that this process now runs a job that another one claimed.
// Later submissions of it join.
func (t *Table) Adopted(key model.JobKey) bool {
	return t.move(key, ClaimedElsewhere, Running)
}

// Released undoes Adopted, when the claimer turned out to have the job.
func (t *Table) Released(key model.JobKey) bool {
	found, ok := t.partitions[key.Partition()].find(key)
	if !ok || found.claimer == 0 {
		return false
	}
	return t.move(key, Running, ClaimedElsewhere)
}

func (t *Table) move(key model.JobKey, from, to State) bool {
	part := &t.partitions[key.Partition()]
	found, ok := part.find(key)
	if !ok || found.state != from {
		return false
	}
	found.state = to
	part.put(key, found)
	return true
}

// Answered stores the terminal answer of a known key. The first answer stands:
// it reports false for an unknown key and for one that is already answered.
func (t *Table) Answered(key model.JobKey, answer *model.Answer) bool {
	part := &t.partitions[key.Partition()]
	found, ok := part.find(key)
	if !ok || found.state == Answered {
		return false
	}
	found.state = Answered
	found.answer = answer
	part.put(key, found)
	t.answers = append(t.answers, keptAnswer{key: key, answer: answer})
	t.answerTotal += answerBytes(answer)
	t.trimAnswers()
	return true
}

// trimAnswers drops the oldest answers beyond the budget. Their keys stay, so
// that a resubmission is still recognised.
func (t *Table) trimAnswers() {
	for t.answerTotal > t.answerBudget && len(t.answers) > 0 {
		oldest := t.answers[0]
		t.answers[0] = keptAnswer{}
		t.answers = t.answers[1:]
		t.dropAnswer(oldest)
	}
}

func (t *Table) dropAnswer(oldest keptAnswer) {
	part := &t.partitions[oldest.key.Partition()]
	found, ok := part.find(oldest.key)
	if !ok || found.answer != oldest.answer {
		return
	}
	found.answer = nil
	part.put(oldest.key, found)
	t.answerTotal -= answerBytes(oldest.answer)
}

// Expire forgets keys older than Retention + KeySkew, except jobs in progress,
// and returns how many were forgotten.
func (t *Table) Expire(now time.Time) int {
	cutoff := now.Add(-model.Retention - model.KeySkew)
	if cutoff.After(t.floor) {
		t.floor = cutoff
	}
	forgotten := 0
	for i := range t.partitions {
		forgotten += t.partitions[i].expire(t.floor, t.forget)
	}
	t.pruneAnswers()
	return forgotten
}

// pruneAnswers releases the oldest answers whose keys were forgotten.
func (t *Table) pruneAnswers() {
	for len(t.answers) > 0 {
		oldest := t.answers[0]
		found, ok := t.partitions[oldest.key.Partition()].find(oldest.key)
		if ok && found.answer == oldest.answer {
			return
		}
		t.answers[0] = keptAnswer{}
		t.answers = t.answers[1:]
	}
}

func (t *Table) forget(value entry) {
	if value.answer != nil {
		t.answerTotal -= answerBytes(value.answer)
	}
}

// Len returns the number of known keys.
func (t *Table) Len() int {
	total := 0
	for i := range t.partitions {
		total += len(t.partitions[i].late)
		for _, keys := range t.partitions[i].buckets {
			total += len(keys)
		}
	}
	return total
}

func (t *Table) record(value entry) Record {
	return Record{
		State:     value.state,
		Digest:    value.digest,
		Claimer:   t.claimers[value.claimer],
		Adoptions: int(value.adoptions),
		Answer:    value.answer,
	}
}

// intern makes keys of one caller share the caller's name.
func (t *Table) intern(key model.JobKey) model.JobKey {
	name, ok := t.callers[key.Caller]
	if !ok {
		name = key.Caller
		t.callers[name] = name
	}
	key.Caller = name
	return key
}

func (t *Table) claimerNumber(claimer model.Incarnation) uint32 {
	number, ok := t.claimer[claimer]
	if !ok {
		number = uint32(len(t.claimers))
		t.claimers = append(t.claimers, claimer)
		t.claimer[claimer] = number
	}
	return number
}
