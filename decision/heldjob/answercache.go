package heldjob

import "github.com/figring/figring/work"

// answerCache keeps the answers of the jobs that ended last.
type answerCache struct {
	limit   int
	answers map[work.JobID]Answer
	order   []work.JobID
	oldest  int
}

func newAnswerCache(limit int) *answerCache {
	return &answerCache{limit: limit, answers: make(map[work.JobID]Answer)}
}

// put keeps an answer and forgets the oldest beyond the limit.
func (r *answerCache) put(id work.JobID, answer Answer) {
	if _, known := r.answers[id]; known {
		r.answers[id] = answer
		return
	}
	r.answers[id] = answer
	if len(r.order) < r.limit {
		r.order = append(r.order, id)
		return
	}
	delete(r.answers, r.order[r.oldest])
	r.order[r.oldest] = id
	r.oldest = (r.oldest + 1) % r.limit
}

func (r *answerCache) get(id work.JobID) (Answer, bool) {
	answer, ok := r.answers[id]
	return answer, ok
}
