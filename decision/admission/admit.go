package admission

import (
	"time"

	"github.com/figring/figring/model"
)

// Admit takes a job in or says why not. A refused job leaves no trace and uses
// up no quota. The tasks of an admitted job count as waiting at once; they are
// given out after Enqueue.
func (q *Queue) Admit(spec model.JobSpec, now time.Time) *model.Refusal {
	if q.jobs[spec.Key] != nil {
		return &model.Refusal{Code: model.CodeInProgress, Outcome: model.InProgress, Detail: "the job is in progress"}
	}
	owner := q.caller(spec.Key.Caller)
	if refusal := q.check(owner, spec, now); refusal != nil {
		return refusal
	}
	if refusal := owner.quota.take(len(spec.Tasks), now); refusal != nil {
		return refusal
	}
	q.add(owner, spec.Key, len(spec.Tasks), now)
	return nil
}

// check makes every check that uses up nothing.
func (q *Queue) check(owner *caller, spec model.JobSpec, now time.Time) *model.Refusal {
	if refusal := q.checkRunnable(spec); refusal != nil {
		return refusal
	}
	if refusal := q.checkConcurrency(owner, len(spec.Tasks), now); refusal != nil {
		return refusal
	}
	if refusal := q.checkBound(owner, len(spec.Tasks), now); refusal != nil {
		return refusal
	}
	return q.checkWait(owner, spec, now)
}

// Adopt takes in a job that a former owner had admitted, without any check.
// Only the given number of its tasks is still to be given out.
func (q *Queue) Adopt(key model.JobKey, tasks int, now time.Time) {
	if q.jobs[key] == nil {
		q.add(q.caller(key.Caller), key, tasks, now)
	}
}

func (q *Queue) add(owner *caller, key model.JobKey, tasks int, now time.Time) {
	added := &job{key: key, caller: owner, admitted: now, inProgress: tasks, heapIndex: -1}
	q.jobs[key] = added
	owner.inProgress += tasks
	q.addWaiting(added, tasks)
}

// checkRunnable refuses what can't run at any time.
func (q *Queue) checkRunnable(spec model.JobSpec) *model.Refusal {
	switch {
	case len(spec.Tasks) == 0:
		return model.NewRefusal(model.CodeInvalid, 0, "the job has no tasks")
	case len(spec.Tasks) > model.MaxTasksPerJob:
		return model.NewRefusal(model.CodeTooLarge, 0, "the job has %d tasks, more than %d", len(spec.Tasks), model.MaxTasksPerJob)
	case spec.Timeout <= 0:
		return model.NewRefusal(model.CodeUnrunnable, 0, "the job's timeout is already over")
	case spec.Timeout > q.limits.MaxTimeout:
		return model.NewRefusal(model.CodeInvalid, 0, "the timeout %s is longer than %s", spec.Timeout, q.limits.MaxTimeout)
	case q.capacityKnown && q.capacity.Targets == 0:
		return model.NewRefusal(model.CodeNoCapacity, unknownRetryAfter, "no target takes work now")
	}
	return q.checkSizes(spec)
}

func (q *Queue) checkSizes(spec model.JobSpec) *model.Refusal {
	largest := q.capacity.LargestMemoryBytes
	if largest == 0 {
		return nil
	}
	for i := range spec.Tasks {
		if size := spec.Tasks[i].DeclaredSize; size > largest {
			return model.NewRefusal(model.CodeUnrunnable, 0, "task %d needs %d bytes and the largest target has %d", i, size, largest)
		}
	}
	return nil
}

// checkConcurrency bounds the caller's tasks in progress. A caller with none
// may always submit one job, however large.
func (q *Queue) checkConcurrency(owner *caller, tasks int, now time.Time) *model.Refusal {
	bound := owner.quota.concurrency
	if bound == 0 || owner.inProgress == 0 || owner.inProgress+tasks <= bound {
		return nil
	}
	excess := owner.inProgress + tasks - bound
	return model.NewRefusal(model.CodeQuota, q.retryAfter(excess, now), "the caller has %d tasks in progress of %d", owner.inProgress, bound)
}

// checkBound bounds the waiting tasks, and under pressure each caller's share
// of them. One more caller of weight 1 is always reckoned with, so that the
// queue is never full of a single one.
func (q *Queue) checkBound(owner *caller, tasks int, now time.Time) *model.Refusal {
	bound := q.limits.QueuedTasks
	if after := q.waiting + tasks; after > bound {
		return model.NewRefusal(model.CodeOverloaded, q.retryAfter(after-bound, now), "%d tasks are waiting", q.waiting)
	}
	if 100*(q.waiting+tasks) <= pressurePercent*bound {
		return nil
	}
	share := float64(bound) * owner.weight / (q.weightWith(owner) + 1)
	after := owner.waiting + tasks
	if owner.waiting == 0 || float64(after) <= share {
		return nil
	}
	excess := after - int(share)
	return model.NewRefusal(model.CodeOverloaded, q.retryAfter(excess, now), "%d of the caller's tasks are waiting", owner.waiting)
}

// weightWith returns the weight of all callers with waiting tasks and owner.
func (q *Queue) weightWith(owner *caller) float64 {
	if owner.waiting > 0 {
		return q.activeWeight
	}
	return q.activeWeight + owner.weight
}

// checkWait refuses early what would not end within its timeout: the wait until
// its last task is given out, and the time of its longest one, by what the
// caller's tasks took lately or by what it declares. Nothing is refused by an
// estimate unless there is a backlog.
func (q *Queue) checkWait(owner *caller, spec model.JobSpec, now time.Time) *model.Refusal {
	wait := q.expectedWait(owner, len(spec.Tasks), now)
	if wait == 0 {
		return nil
	}
	need := wait + max(owner.took.of(len(spec.Tasks), now), longestDeclared(spec.Tasks))
	if need <= spec.Timeout {
		return nil
	}
	return model.NewRefusal(model.CodeOverloaded, clampRetry(need-spec.Timeout), "the expected wait is %s, the expected time %s", wait.Round(time.Millisecond), need.Round(time.Millisecond))
}

// expectedWait returns the time until the last of tasks more of a caller would
// be given out. Fair queueing bounds it by the caller's own backlog at its
// share of the rate, and also by the whole backlog at the whole rate. The
// caller's later jobs may overtake by delayPerTask for each task.
func (q *Queue) expectedWait(owner *caller, tasks int, now time.Time) time.Duration {
	rate := q.drain.current(q.capacity.TasksPerSecond, now)
	if rate <= 0 || !q.backlogged(now) {
		return 0
	}
	own := float64(owner.waiting+tasks) * q.weightWith(owner) / owner.weight
	all := float64(q.waiting + tasks)
	overtaken := time.Duration(tasks-1) * delayPerTask
	return secondsBounded(min(own, all)/rate) + overtaken
}

// backlogged reports whether a job has to wait: no slot is left over by the
// tasks that wait here already. Other entries fill the slots too, so that with
// none left even an empty queue means a wait, if it was longer a moment ago.
func (q *Queue) backlogged(now time.Time) bool {
	if q.waiting < q.capacity.Free {
		return false
	}
	return q.waiting > 0 || q.drain.fresh(now)
}

// retryAfter returns the time in which the given number of tasks leaves.
func (q *Queue) retryAfter(tasks int, now time.Time) time.Duration {
	rate := q.drain.current(q.capacity.TasksPerSecond, now)
	if rate <= 0 {
		return unknownRetryAfter
	}
	return clampRetry(secondsBounded(float64(tasks) / rate))
}

// secondsBounded converts seconds without overflow.
func secondsBounded(seconds float64) time.Duration {
	const bound = 24 * time.Hour
	if seconds > bound.Seconds() {
		return bound
	}
	return time.Duration(seconds * float64(time.Second))
}
