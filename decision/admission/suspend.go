package admission

const (
	// maxPassed bounds the jobs that are suspended at a time.
	maxPassed = 32
	// maxPassedPerCaller bounds those of one caller. With one more all of its
	// jobs are held back, so that a caller whose work can't go anywhere does
	// not use up what the others need to be looked at.
	maxPassedPerCaller = 4
)

// Suspend holds back the job that Peek names until Resume, so that the tasks
// behind it come to the front. It reports false, and holds nothing back, when
// too many are held back already.
//
// Suspended tasks are not charged to their caller's share, which stays first in
// the order; but no credit is saved up while others are served, as for a caller
// without ready tasks.
func (q *Queue) Suspend() bool {
	if len(q.ready) == 0 || len(q.suspended) >= maxPassed {
		return false
	}
	owner := q.ready[0]
	first := owner.jobs[0]
	first.held, first.ready = first.ready, nil
	owner.restore(first)
	owner.passed++
	owner.held = owner.passed >= maxPassedPerCaller
	q.suspended = append(q.suspended, first)
	q.restore(owner)
	return true
}

// Resume ends every suspension.
func (q *Queue) Resume() {
	for _, one := range q.suspended {
		// What became ready meanwhile was put in last and is given out first.
		one.ready = append(one.held, one.ready...)
		one.held = nil
		one.caller.passed = 0
		one.caller.held = false
		one.caller.restore(one)
		q.restore(one.caller)
	}
	clear(q.suspended)
	q.suspended = q.suspended[:0]
}
