package admission

const (
	// maxSuspendedJobs limits the number of jobs suspended at a time.
	maxSuspendedJobs = 32
	// maxSuspendedPerCaller limits the suspended jobs of one caller. At this limit
	// all other jobs of the caller are held back too, so that a caller whose tasks
	// can't be placed does not use up the suspensions that other callers need.
	maxSuspendedPerCaller = 4
)

// Suspend holds back the job of the task that Peek returns until Resume, so that
// Peek returns a task of another job. It reports false, and suspends nothing, when
// no task is ready or maxSuspendedJobs are suspended already.
//
// The caller is not charged for suspended tasks and keeps its place in the fair
// order, but like any caller without ready tasks it earns no credit while others
// are served.
func (q *Queue) Suspend() bool {
	if len(q.readyCallers) == 0 || len(q.suspended) >= maxSuspendedJobs {
		return false
	}
	c := q.readyCallers[0]
	j := c.jobs[0]
	j.suspendedReady, j.ready = j.ready, nil
	c.updateJobHeap(j)
	c.suspendedJobs++
	c.atSuspendLimit = c.suspendedJobs >= maxSuspendedPerCaller
	q.suspended = append(q.suspended, j)
	q.updateCallerHeap(c)
	return true
}

// Resume ends all suspensions.
func (q *Queue) Resume() {
	for _, j := range q.suspended {
		// Tasks that became ready during the suspension go to the top of the stack
		// and are dequeued first.
		j.ready = append(j.suspendedReady, j.ready...)
		j.suspendedReady = nil
		j.caller.suspendedJobs = 0
		j.caller.atSuspendLimit = false
		j.caller.updateJobHeap(j)
		q.updateCallerHeap(j.caller)
	}
	clear(q.suspended)
	q.suspended = q.suspended[:0]
}
