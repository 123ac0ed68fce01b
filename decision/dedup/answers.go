package dedup

import "github.com/figring/figring/model"

// answerOverheadBytes is counted for an answer and for each of its results
// besides their bodies.
const answerOverheadBytes = 128

// keptAnswer is an element of the queue by age of answers.
type keptAnswer struct {
	key    model.JobKey
	answer *model.Answer
}

// answerBytes estimates the memory that an answer holds.
func answerBytes(answer *model.Answer) int64 {
	total := int64(answerOverheadBytes + len(answer.Detail))
	for i := range answer.Results {
		total += int64(answerOverheadBytes + cap(answer.Results[i].Body))
	}
	return total
}
