package dedup

import "github.com/figring/figring/model"

// answerOverheadBytes is the estimated size of an answer, and of each of its
// results, without detail text and bodies.
const answerOverheadBytes = 128

// keptAnswer is an element of Table.keptAnswers.
type keptAnswer struct {
	key    model.JobKey
	answer *model.Answer
}

// answerSize estimates the memory in bytes that an answer uses.
func answerSize(answer *model.Answer) int64 {
	total := int64(answerOverheadBytes + len(answer.Detail))
	for i := range answer.Results {
		total += int64(answerOverheadBytes + cap(answer.Results[i].Body))
	}
	return total
}
