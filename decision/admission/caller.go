package admission

import "container/heap"

// caller holds the queue state of one caller.
type caller struct {
	name   string
	weight float64
	quota  quota
	jobs   jobHeap
	// startTag is the caller's start tag in virtual time; see the package comment.
	startTag float64
	// waiting and inProgress are the sums over the caller's jobs.
	waiting    int
	inProgress int
	// suspendedJobs counts the suspended jobs. atSuspendLimit is set when it has
	// reached maxSuspendedPerCaller; the caller's other jobs are then held back too.
	suspendedJobs  int
	atSuspendLimit bool
	// taskDurations estimates how long the caller's tasks take once dispatched.
	taskDurations maxDurationEstimator
	// heapIndex is the caller's index in Queue.readyCallers, or -1.
	heapIndex int
}

// updateJobHeap adds, moves or removes a job in the heap after its ready tasks or
// its order key have changed.
func (c *caller) updateJobHeap(changed *job) {
	switch {
	case changed.heapIndex >= 0 && len(changed.ready) == 0:
		heap.Remove(&c.jobs, changed.heapIndex)
	case changed.heapIndex >= 0:
		heap.Fix(&c.jobs, changed.heapIndex)
	case len(changed.ready) > 0:
		heap.Push(&c.jobs, changed)
	}
}
