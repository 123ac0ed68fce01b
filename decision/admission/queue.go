package admission

import (
	"container/heap"
	"time"

	"github.com/figring/figring/model"
)

// Queue holds the admitted jobs of one entry. It is not safe for concurrent
// use.
type Queue struct {
	callers map[string]*caller
	ready   callerHeap
	jobs    map[model.JobKey]*job
	// suspended lists the jobs that Suspend holds back.
	suspended []*job
	// virtual is the start tag of the task given out last.
	virtual float64
	waiting int
	// activeWeight sums up the weights of the callers with waiting tasks.
	activeWeight float64

	limits   model.Limits
	capacity Capacity
	// capacityKnown is set once the router has said anything.
	capacityKnown bool
	drain         drain
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

// ApplyBundle takes the limits and the callers' weights and quotas. Quotas are
// divided by the number of live entries. Callers that the bundle no longer
// names have weight 1 and no quota; whether they may submit is not decided here.
func (q *Queue) ApplyBundle(bundle model.Bundle, entries int, now time.Time) {
	q.limits = withDefaults(bundle.Limits)
	named := make(map[string]model.Caller, len(bundle.Callers))
	for _, one := range bundle.Callers {
		named[one.Name] = one
		q.caller(one.Name)
	}
	q.activeWeight = 0
	for name, known := range q.callers {
		known.weight = float64(max(1, named[name].Weight))
		known.quota.apply(named[name], max(1, entries), now)
		if known.waiting > 0 {
			q.activeWeight += known.weight
		}
	}
}

// SetCapacity takes what the router says about the targets. The rate at which
// tasks left while there was no target says nothing about those that came.
func (q *Queue) SetCapacity(capacity Capacity) {
	if q.capacity.Targets == 0 && capacity.Targets > 0 {
		q.drain.forget()
	}
	q.capacity = capacity
	q.capacityKnown = true
}

func (q *Queue) caller(name string) *caller {
	known := q.callers[name]
	if known == nil {
		known = &caller{name: name, weight: 1, heapIndex: -1}
		q.callers[name] = known
	}
	return known
}

// Enqueue makes tasks of an admitted job ready, in the given order after those
// that are ready already. It is called when the job's claim is written.
func (q *Queue) Enqueue(key model.JobKey, indexes []int, now time.Time) {
	known := q.jobs[key]
	if known == nil {
		return
	}
	ready := make([]int, 0, len(indexes)+len(known.ready))
	for i := len(indexes) - 1; i >= 0; i-- {
		ready = append(ready, indexes[i])
	}
	known.ready = append(ready, known.ready...)
	q.changed(known, now)
}

// Requeue puts back a task that was given out and has not been started. It
// becomes its job's next one, and its caller's share is given back. The bound
// on queued tasks is one on admission: tasks put back may exceed it.
func (q *Queue) Requeue(ref model.TaskRef, now time.Time) {
	known := q.jobs[ref.Key]
	if known == nil {
		return
	}
	owner := known.caller
	known.ready = append(known.ready, ref.Index)
	q.addWaiting(known, 1)
	owner.start = max(q.virtual, owner.start-1/owner.weight)
	q.drain.giveBack()
	q.changed(known, now)
}

// EnqueueRetry queues another run of a dequeued task. Unlike with Requeue, the
// caller's share is charged again when the task is dequeued.
func (q *Queue) EnqueueRetry(ref model.TaskRef, now time.Time) {
	known := q.jobs[ref.Key]
	if known == nil {
		return
	}
	known.ready = append(known.ready, ref.Index)
	q.addWaiting(known, 1)
	q.changed(known, now)
}

// changed restores the order after the ready tasks of a job have changed.
func (q *Queue) changed(known *job, now time.Time) {
	known.caller.restore(known)
	q.restore(known.caller)
	if len(q.ready)+len(q.suspended) > 0 {
		q.drain.begin(now)
	} else {
		q.drain.stop()
	}
}

// restore puts a caller where it belongs after its jobs have changed.
func (q *Queue) restore(owner *caller) {
	isReady := len(owner.jobs) > 0 && !owner.held
	switch {
	case owner.heapIndex >= 0 && !isReady:
		heap.Remove(&q.ready, owner.heapIndex)
	case owner.heapIndex >= 0:
		heap.Fix(&q.ready, owner.heapIndex)
	case isReady:
		owner.start = max(q.virtual, owner.start)
		heap.Push(&q.ready, owner)
	}
}

// Peek returns the task that Next would give out.
func (q *Queue) Peek() (model.TaskRef, bool) {
	if len(q.ready) == 0 {
		return model.TaskRef{}, false
	}
	first := q.ready[0].jobs[0]
	return model.TaskRef{Key: first.key, Index: first.ready[len(first.ready)-1]}, true
}

// Next gives out the next task in fair order. A task that can't be sent is put
// back with Requeue.
func (q *Queue) Next(now time.Time) (model.TaskRef, bool) {
	ref, ok := q.Peek()
	if !ok {
		return model.TaskRef{}, false
	}
	owner := q.ready[0]
	first := owner.jobs[0]
	first.ready = first.ready[:len(first.ready)-1]
	q.virtual = owner.start
	owner.start += 1 / owner.weight
	q.addWaiting(first, -1)
	q.drain.take(now)
	q.changed(first, now)
	return ref, true
}

// TaskEnded notes that a task given out has ended, so that it no longer counts
// against its caller's concurrency.
func (q *Queue) TaskEnded(key model.JobKey) {
	known := q.jobs[key]
	if known == nil || known.inProgress == 0 {
		return
	}
	known.inProgress--
	known.caller.inProgress--
}

// RecordTaskDuration records the time from sending a task to its successful end.
func (q *Queue) RecordTaskDuration(key model.JobKey, took time.Duration, now time.Time) {
	if known := q.jobs[key]; known != nil {
		known.caller.took.add(took, now)
	}
}

// Remove forgets a job with all its tasks.
func (q *Queue) Remove(key model.JobKey, now time.Time) {
	known := q.jobs[key]
	if known == nil {
		return
	}
	delete(q.jobs, key)
	known.caller.inProgress -= known.inProgress
	q.addWaiting(known, -known.waiting)
	known.ready, known.held = nil, nil
	q.changed(known, now)
}

// addWaiting changes the counts of waiting tasks. The job's place changes with
// it: changed must follow.
func (q *Queue) addWaiting(known *job, tasks int) {
	owner := known.caller
	before := owner.waiting
	known.waiting += tasks
	owner.waiting += tasks
	q.waiting += tasks
	if before == 0 && owner.waiting > 0 {
		q.activeWeight += owner.weight
	}
	if before > 0 && owner.waiting == 0 {
		q.activeWeight -= owner.weight
	}
}

// Waiting returns the number of tasks admitted and not given out.
func (q *Queue) Waiting() int { return q.waiting }

// CallerWaiting returns the same for one caller.
func (q *Queue) CallerWaiting(name string) int {
	if known := q.callers[name]; known != nil {
		return known.waiting
	}
	return 0
}
