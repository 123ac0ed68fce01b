package dedup

import "github.com/figring/figring/model"

// Record is what the table knows about a key.
type Record struct {
	State  State
	Digest uint64
	// Claimer is set for a claim that was loaded from the table.
	Claimer model.Incarnation
	// Adoptions counts how often the job was taken over before that claim.
	Adoptions int
	// Answer is nil for an answered job whose answer is no longer kept.
	Answer *model.Answer
}

// AnswerDropped reports whether the job was answered and its answer has been
// dropped to stay within the byte budget.
func (r Record) AnswerDropped() bool {
	return r.State == Answered && r.Answer == nil
}

// entry is the stored form of a Record, kept small: there is one per key of
// the last minutes.
type entry struct {
	digest  uint64
	answer  *model.Answer
	claimer uint32
	// adoptions is bounded: a job is taken over at most a few times within the
	// retention time.
	adoptions uint8
	state     State
}
