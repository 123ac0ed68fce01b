package admission

import "container/heap"

// caller is the state of one caller in the queue.
type caller struct {
	name   string
	weight float64
	quota  quota
	jobs   jobHeap
	// start is the caller's start tag in virtual time.
	start float64
	// waiting and inProgress sum up those of its jobs.
	waiting    int
	inProgress int
	// passed counts the suspended jobs; held keeps all the others back too.
	passed int
	held   bool
	// took estimates how long its tasks take once given out.
	took longest
	// heapIndex is the caller's place among those with ready tasks, or -1.
	heapIndex int
}

// restore puts a job where it belongs after its ready tasks or its place have
// changed.
func (c *caller) restore(changed *job) {
	switch {
	case changed.heapIndex >= 0 && len(changed.ready) == 0:
		heap.Remove(&c.jobs, changed.heapIndex)
	case changed.heapIndex >= 0:
		heap.Fix(&c.jobs, changed.heapIndex)
	case len(changed.ready) > 0:
		heap.Push(&c.jobs, changed)
	}
}
