package dedup

import "github.com/figring/figring/model"

// Record is the state of a known key.
type Record struct {
	State  State
	Digest uint64
	// Claimer is the entry that wrote the claim, if the claim was loaded from
	// the claim store.
	Claimer model.Incarnation
	// Adoptions counts how often the job was adopted before Claimer's claim.
	Adoptions int
	// Answer is nil while the job has no answer and after its answer was
	// dropped.
	Answer *model.Answer
}

// AnswerDropped reports whether the job was answered but the answer was dropped
// to stay within the byte budget.
func (r Record) AnswerDropped() bool {
	return r.State == Answered && r.Answer == nil
}

// compactRecord is the stored form of a Record. It is kept small because there
// is one for every key of the retention time.
type compactRecord struct {
	digest uint64
	answer *model.Answer
	// claimer is an index into Table.claimers; 0 means none.
	claimer uint32
	// adoptions fits in 8 bits because a job is adopted at most a few times
	// within the retention time.
	adoptions uint8
	state     State
}
