package heldjob

import "github.com/figring/figring/work"

// answerCache holds the answers of the jobs that ended last, in a ring of limit
// entries.
type answerCache struct {
	limit   int
	answers map[work.JobID]Answer
	order   []work.JobID
	oldest  int
}

func newAnswerCache(limit int) *answerCache {
	return &answerCache{limit: limit, answers: make(map[work.JobID]Answer)}
}

// put adds or replaces an answer and evicts the oldest one beyond the limit.
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
