package heldjob

import "github.com/figring/figring/work"

// recent keeps the answers of the jobs that ended last.
type recent struct {
	limit   int
	answers map[work.JobID]Answer
	order   []work.JobID
	oldest  int
}

func newRecent(limit int) *recent {
	return &recent{limit: limit, answers: make(map[work.JobID]Answer)}
}

// put keeps an answer and forgets the oldest beyond the limit.
func (r *recent) put(id work.JobID, answer Answer) {
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

func (r *recent) get(id work.JobID) (Answer, bool) {
	answer, ok := r.answers[id]
	return answer, ok
}
