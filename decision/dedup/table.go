package dedup

import (
	"math"
	"time"

	"github.com/figring/figring/model"
)

// Table holds the keys of the partitions that an entry owns. It is not safe for
// concurrent use: one goroutine owns it.
type Table struct {
	partitions [model.Partitions]partition
	// expiredBefore is the latest cutoff of Expire. Keys created before it may
	// have been removed, so they are refused even if the wall clock is set back.
	expiredBefore time.Time

	internedCallers map[string]string
	// claimers holds the claimers by number, and claimerNumbers the numbers by
	// claimer. Number 0 means no claimer.
	claimers       []model.Incarnation
	claimerNumbers map[model.Incarnation]uint32

	answerBudget    int64
	keptAnswerBytes int64
	// keptAnswers lists the stored answers, the oldest first.
	keptAnswers []keptAnswer
}

// NewTable returns a Table that owns no partition and stores answers with a
// total size of at most answerBudget bytes.
func NewTable(answerBudget int64) *Table {
	return &Table{
		internedCallers: make(map[string]string),
		claimers:        []model.Incarnation{""},
		claimerNumbers:  map[model.Incarnation]uint32{"": 0},
		answerBudget:    answerBudget,
	}
}

// BeginLoad takes ownership of a partition. Until Serve is called, Submit
// returns Loading for its keys, because any of them may have a claim that is
// not loaded yet.
func (t *Table) BeginLoad(p int) {
	t.partitions[p].state = partitionLoading
}

// Serve starts accepting submissions for a partition, all claims of which must
// have been loaded.
func (t *Table) Serve(p int) {
	t.partitions[p].state = partitionServed
}

// DropPartition gives up ownership of a partition. Claims loaded from the claim
// store are removed. Jobs that this process runs or has answered stay until
// they expire, because the new owner joins them here; see Lookup.
func (t *Table) DropPartition(p int) {
	t.partitions[p].state = partitionAbsent
	t.partitions[p].dropLoaded()
}

// Submit decides how to handle a submission. If it returns New, the key is in
// state Claiming afterwards. The record is set for Join, Conflict and Adopt.
func (t *Table) Submit(key model.JobKey, digest uint64, now time.Time) (Verdict, Record) {
	part := &t.partitions[key.Partition()]
	switch part.state {
	case partitionAbsent:
		return NotOwned, Record{}
	case partitionLoading:
		return Loading, Record{}
	}
	if known, ok := part.find(key); ok {
		return t.decideKnown(known, digest)
	}
	if verdict := t.checkAge(key, now); verdict != New {
		return verdict, Record{}
	}
	part.put(t.intern(key), compactRecord{digest: digest, state: Claiming})
	return New, Record{State: Claiming, Digest: digest}
}

func (t *Table) decideKnown(known compactRecord, digest uint64) (Verdict, Record) {
	record := t.expand(known)
	if known.digest != digest {
		return Conflict, record
	}
	if known.state == ClaimedElsewhere {
		return Adopt, record
	}
	return Join, record
}

func (t *Table) checkAge(key model.JobKey, now time.Time) Verdict {
	created := key.Created()
	if created.Before(t.expiredBefore) || now.Sub(created) > model.Retention {
		return Expired
	}
	if created.Sub(now) > model.KeySkew {
		return Invalid
	}
	return New
}

// Lookup returns the record of a key even if its partition is not owned. It is
// used when a new owner joins a job here, and for status queries.
func (t *Table) Lookup(key model.JobKey) (Record, bool) {
	found, ok := t.partitions[key.Partition()].find(key)
	return t.expand(found), ok
}

// LoadClaim records a claim that was read from the claim store. If several
// claims of a key are loaded, the one with the most adoptions wins, because the
// entry that adopted the job last has it now. LoadClaim changes nothing and
// returns false if the claim does not win, if this process itself is claiming,
// runs or has answered the job, or if the key has expired.
func (t *Table) LoadClaim(key model.JobKey, digest uint64, claimer model.Incarnation, adoptions int) bool {
	part := &t.partitions[key.Partition()]
	newAdoptions := uint8(min(max(adoptions, 0), math.MaxUint8))
	known, ok := part.find(key)
	if ok && (known.state != ClaimedElsewhere || known.adoptions >= newAdoptions) {
		return false
	}
	if key.Created().Before(t.expiredBefore) {
		return false
	}
	part.put(t.intern(key), compactRecord{digest: digest, claimer: t.claimerNumber(claimer), adoptions: newAdoptions, state: ClaimedElsewhere})
	return true
}

// Claimed records that the claim of a key in state Claiming was written.
func (t *Table) Claimed(key model.JobKey) bool {
	return t.transition(key, Claiming, Running)
}

// ClaimFailed removes a key in state Claiming. It may be called only if it is
// proved that the claim was not written and never will be. A claim whose write
// has an unknown outcome must stay in state Claiming.
func (t *Table) ClaimFailed(key model.JobKey) bool {
	part := &t.partitions[key.Partition()]
	found, ok := part.find(key)
	if !ok || found.state != Claiming {
		return false
	}
	part.remove(key)
	return true
}

// Adopted records that this process now runs a job that another process
// claimed. Later submissions of the job join it.
func (t *Table) Adopted(key model.JobKey) bool {
	return t.transition(key, ClaimedElsewhere, Running)
}

// Released reverts Adopted. It is called if the claimer turns out to have the
// job.
func (t *Table) Released(key model.JobKey) bool {
	found, ok := t.partitions[key.Partition()].find(key)
	if !ok || found.claimer == 0 {
		return false
	}
	return t.transition(key, Running, ClaimedElsewhere)
}

func (t *Table) transition(key model.JobKey, from, to State) bool {
	part := &t.partitions[key.Partition()]
	found, ok := part.find(key)
	if !ok || found.state != from {
		return false
	}
	found.state = to
	part.put(key, found)
	return true
}

// Answered stores the final answer of a known key. Only the first answer is
// stored: Answered returns false for an unknown key and for one that is already
// answered.
func (t *Table) Answered(key model.JobKey, answer *model.Answer) bool {
	part := &t.partitions[key.Partition()]
	found, ok := part.find(key)
	if !ok || found.state == Answered {
		return false
	}
	found.state = Answered
	found.answer = answer
	part.put(key, found)
	t.keptAnswers = append(t.keptAnswers, keptAnswer{key: key, answer: answer})
	t.keptAnswerBytes += answerSize(answer)
	t.trimAnswers()
	return true
}

// trimAnswers drops the oldest answers beyond the byte budget. Their keys are
// kept, so that resubmissions are still recognised.
func (t *Table) trimAnswers() {
	for t.keptAnswerBytes > t.answerBudget && len(t.keptAnswers) > 0 {
		oldest := t.keptAnswers[0]
		t.keptAnswers[0] = keptAnswer{}
		t.keptAnswers = t.keptAnswers[1:]
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
	t.keptAnswerBytes -= answerSize(oldest.answer)
}

// Expire removes the keys older than Retention + KeySkew, except those of jobs
// in progress, and returns how many it removed.
func (t *Table) Expire(now time.Time) int {
	cutoff := now.Add(-model.Retention - model.KeySkew)
	if cutoff.After(t.expiredBefore) {
		t.expiredBefore = cutoff
	}
	removed := 0
	for i := range t.partitions {
		removed += t.partitions[i].expire(t.expiredBefore, t.subtractAnswer)
	}
	t.pruneAnswers()
	return removed
}

// pruneAnswers removes the leading elements of keptAnswers whose keys were
// removed.
func (t *Table) pruneAnswers() {
	for len(t.keptAnswers) > 0 {
		oldest := t.keptAnswers[0]
		found, ok := t.partitions[oldest.key.Partition()].find(oldest.key)
		if ok && found.answer == oldest.answer {
			return
		}
		t.keptAnswers[0] = keptAnswer{}
		t.keptAnswers = t.keptAnswers[1:]
	}
}

func (t *Table) subtractAnswer(value compactRecord) {
	if value.answer != nil {
		t.keptAnswerBytes -= answerSize(value.answer)
	}
}

// Len returns the number of known keys.
func (t *Table) Len() int {
	total := 0
	for i := range t.partitions {
		total += len(t.partitions[i].overdue)
		for _, keys := range t.partitions[i].buckets {
			total += len(keys)
		}
	}
	return total
}

func (t *Table) expand(value compactRecord) Record {
	return Record{
		State:     value.state,
		Digest:    value.digest,
		Claimer:   t.claimers[value.claimer],
		Adoptions: int(value.adoptions),
		Answer:    value.answer,
	}
}

// intern makes all keys of a caller share one copy of the caller's name.
func (t *Table) intern(key model.JobKey) model.JobKey {
	name, ok := t.internedCallers[key.Caller]
	if !ok {
		name = key.Caller
		t.internedCallers[name] = name
	}
	key.Caller = name
	return key
}

func (t *Table) claimerNumber(claimer model.Incarnation) uint32 {
	number, ok := t.claimerNumbers[claimer]
	if !ok {
		number = uint32(len(t.claimers))
		t.claimers = append(t.claimers, claimer)
		t.claimerNumbers[claimer] = number
	}
	return number
}
