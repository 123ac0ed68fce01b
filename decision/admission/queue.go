package admission

import (
	"container/heap"
	"time"

	"github.com/figring/figring/model"
)

// Queue holds the admitted jobs of one entry. It is not safe for concurrent
// use.
type Queue struct {
	callers      map[string]*caller
	readyCallers callerHeap
	jobs         map[model.JobKey]*job
	// suspended lists the jobs suspended until Resume.
	suspended []*job
	// virtualTime is the start tag of the task dequeued last.
	virtualTime float64
	waiting     int
	// activeWeight is the total weight of the callers with waiting tasks.
	activeWeight float64

	limits   model.Limits
	capacity Capacity
	// capacityKnown is set by the first SetCapacity.
	capacityKnown bool
	drainRate     rateMeter
}

// NewQueue returns an empty queue with the default limits.
func NewQueue() *Queue {
	return &Queue{
		callers: make(map[string]*caller),
		jobs:    make(map[model.JobKey]*job),
		limits:  withDefaults(model.Limits{}),
	}
}

func withDefaults(limits model.Limits) model.Limits {
	if limits.QueuedTasks == 0 {
		limits.QueuedTasks = DefaultQueuedTasks
	}
	if limits.MaxTimeout == 0 {
		limits.MaxTimeout = DefaultMaxTimeout
	}
	return limits
}

// ApplyBundle applies the bundle's limits and the callers' weights and quotas.
// Quotas are divided by the number of live entries. Callers that the bundle does
// not name get weight 1 and no quota limit; whether they may submit jobs is
// decided elsewhere.
func (q *Queue) ApplyBundle(bundle model.Bundle, entries int, now time.Time) {
	q.limits = withDefaults(bundle.Limits)
	byName := make(map[string]model.Caller, len(bundle.Callers))
	for _, bundled := range bundle.Callers {
		byName[bundled.Name] = bundled
		q.caller(bundled.Name)
	}
	q.activeWeight = 0
	for name, c := range q.callers {
		c.weight = float64(max(1, byName[name].Weight))
		c.quota.apply(byName[name], max(1, entries), now)
		if c.waiting > 0 {
			q.activeWeight += c.weight
		}
	}
}

// SetCapacity sets the capacity of the targets. When targets appear after a time
// without any, the rate measured before is discarded, because it says nothing about
// the new targets.
func (q *Queue) SetCapacity(capacity Capacity) {
	if q.capacity.Targets == 0 && capacity.Targets > 0 {
		q.drainRate.reset()
	}
	q.capacity = capacity
	q.capacityKnown = true
}

func (q *Queue) caller(name string) *caller {
	c := q.callers[name]
	if c == nil {
		c = &caller{name: name, weight: 1, heapIndex: -1}
		q.callers[name] = c
	}
	return c
}

// Enqueue makes tasks of an admitted job ready to be dequeued, in the given order
// and after those that are ready already. It is called once the job's claim has
// been written.
func (q *Queue) Enqueue(key model.JobKey, indexes []int, now time.Time) {
	j := q.jobs[key]
	if j == nil {
		return
	}
	ready := make([]int, 0, len(indexes)+len(j.ready))
	for i := len(indexes) - 1; i >= 0; i-- {
		ready = append(ready, indexes[i])
	}
	j.ready = append(ready, j.ready...)
	q.updateOrder(j, now)
}

// Requeue puts back a dequeued task that has not been started. It becomes the next
// task of its job, and its caller gets the charge back. The limit on queued tasks
// applies to admission only: requeued tasks may exceed it.
func (q *Queue) Requeue(ref model.TaskRef, now time.Time) {
	j := q.jobs[ref.Key]
	if j == nil {
		return
	}
	c := j.caller
	j.ready = append(j.ready, ref.Index)
	q.addWaiting(j, 1)
	c.startTag = max(q.virtualTime, c.startTag-1/c.weight)
	q.drainRate.taskRequeued()
	q.updateOrder(j, now)
}

// EnqueueRetry queues another run of a dequeued task as the next task of its job.
// Unlike with Requeue, the caller is charged again when the task is dequeued.
func (q *Queue) EnqueueRetry(ref model.TaskRef, now time.Time) {
	j := q.jobs[ref.Key]
	if j == nil {
		return
	}
	j.ready = append(j.ready, ref.Index)
	q.addWaiting(j, 1)
	q.updateOrder(j, now)
}

// updateOrder restores the order of the queue after the ready tasks or the order
// key of a job have changed, and starts or stops the measurement of the rate.
func (q *Queue) updateOrder(j *job, now time.Time) {
	j.caller.updateJobHeap(j)
	q.updateCallerHeap(j.caller)
	if len(q.readyCallers)+len(q.suspended) > 0 {
		q.drainRate.start(now)
	} else {
		q.drainRate.stop()
	}
}

// updateCallerHeap adds, moves or removes a caller in the heap after its jobs have
// changed.
func (q *Queue) updateCallerHeap(c *caller) {
	isReady := len(c.jobs) > 0 && !c.atSuspendLimit
	switch {
	case c.heapIndex >= 0 && !isReady:
		heap.Remove(&q.readyCallers, c.heapIndex)
	case c.heapIndex >= 0:
		heap.Fix(&q.readyCallers, c.heapIndex)
	case isReady:
		c.startTag = max(q.virtualTime, c.startTag)
		heap.Push(&q.readyCallers, c)
	}
}

// Peek returns the task that Next would dequeue.
func (q *Queue) Peek() (model.TaskRef, bool) {
	if len(q.readyCallers) == 0 {
		return model.TaskRef{}, false
	}
	first := q.readyCallers[0].jobs[0]
	return model.TaskRef{Key: first.key, Index: first.ready[len(first.ready)-1]}, true
}

// Next dequeues the next task in fair order. A task that can't be sent is put back
// with Requeue.
func (q *Queue) Next(now time.Time) (model.TaskRef, bool) {
	ref, ok := q.Peek()
	if !ok {
		return model.TaskRef{}, false
	}
	c := q.readyCallers[0]
	j := c.jobs[0]
	j.ready = j.ready[:len(j.ready)-1]
	q.virtualTime = c.startTag
	c.startTag += 1 / c.weight
	q.addWaiting(j, -1)
	q.drainRate.taskDequeued(now)
	q.updateOrder(j, now)
	return ref, true
}

// TaskEnded records that a dequeued task has ended, so that it no longer counts
// towards its caller's concurrency.
func (q *Queue) TaskEnded(key model.JobKey) {
	j := q.jobs[key]
	if j == nil || j.inProgress == 0 {
		return
	}
	j.inProgress--
	j.caller.inProgress--
}

// RecordTaskDuration records the time from sending a task to its successful end.
func (q *Queue) RecordTaskDuration(key model.JobKey, duration time.Duration, now time.Time) {
	if j := q.jobs[key]; j != nil {
		j.caller.taskDurations.add(duration, now)
	}
}

// Remove removes a job with all its tasks. It does nothing if the job is unknown.
func (q *Queue) Remove(key model.JobKey, now time.Time) {
	j := q.jobs[key]
	if j == nil {
		return
	}
	delete(q.jobs, key)
	j.caller.inProgress -= j.inProgress
	q.addWaiting(j, -j.waiting)
	j.ready, j.suspendedReady = nil, nil
	q.updateOrder(j, now)
}

// addWaiting adds tasks, which may be negative, to the counts of waiting tasks.
// This changes the job's order key, so updateOrder must be called afterwards
// if the job has ready tasks.
func (q *Queue) addWaiting(j *job, tasks int) {
	c := j.caller
	before := c.waiting
	j.waiting += tasks
	c.waiting += tasks
	q.waiting += tasks
	if before == 0 && c.waiting > 0 {
		q.activeWeight += c.weight
	}
	if before > 0 && c.waiting == 0 {
		q.activeWeight -= c.weight
	}
}

// Waiting returns the number of tasks that are admitted and not dequeued.
func (q *Queue) Waiting() int { return q.waiting }

// CallerWaiting returns the number of the caller's tasks that are admitted and not
// dequeued.
func (q *Queue) CallerWaiting(name string) int {
	if c := q.callers[name]; c != nil {
		return c.waiting
	}
	return 0
}
