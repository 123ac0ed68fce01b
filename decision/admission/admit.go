package admission

import (
	"time"

	"github.com/figring/figring/model"
)

// Admit admits a job or returns the reason for refusing it. A refused job does
// not change the queue and uses no quota. The tasks of an admitted job count as
// waiting at once, but are not dequeued before Enqueue has been called for them.
func (q *Queue) Admit(spec model.JobSpec, now time.Time) *model.Refusal {
	if q.jobs[spec.Key] != nil {
		return &model.Refusal{Code: model.CodeInProgress, Outcome: model.InProgress, Detail: "the job is in progress"}
	}
	c := q.caller(spec.Key.Caller)
	if refusal := q.check(c, spec, now); refusal != nil {
		return refusal
	}
	if refusal := c.quota.reserve(len(spec.Tasks), now); refusal != nil {
		return refusal
	}
	q.addJob(c, spec.Key, len(spec.Tasks), now)
	return nil
}

// check runs all admission checks that consume no quota.
func (q *Queue) check(c *caller, spec model.JobSpec, now time.Time) *model.Refusal {
	if refusal := q.checkRunnable(spec); refusal != nil {
		return refusal
	}
	if refusal := q.checkConcurrency(c, len(spec.Tasks), now); refusal != nil {
		return refusal
	}
	if refusal := q.checkQueueLimit(c, len(spec.Tasks), now); refusal != nil {
		return refusal
	}
	return q.checkExpectedCompletion(c, spec, now)
}

// Adopt adds a job that a previous owner admitted, without any check. tasks is
// the number of its tasks that are still to be dispatched.
func (q *Queue) Adopt(key model.JobKey, tasks int, now time.Time) {
	if q.jobs[key] == nil {
		q.addJob(q.caller(key.Caller), key, tasks, now)
	}
}

func (q *Queue) addJob(c *caller, key model.JobKey, tasks int, now time.Time) {
	added := &job{key: key, caller: c, admittedAt: now, inProgress: tasks, heapIndex: -1}
	q.jobs[key] = added
	c.inProgress += tasks
	q.addWaiting(added, tasks)
}

// checkRunnable refuses malformed jobs, jobs that no target could run, and all
// jobs while no target accepts work.
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
		return model.NewRefusal(model.CodeNoCapacity, defaultRetryAfter, "no target takes work now")
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

// checkConcurrency limits the caller's tasks in progress. A caller with none in
// progress may always submit one job, however large.
func (q *Queue) checkConcurrency(c *caller, tasks int, now time.Time) *model.Refusal {
	limit := c.quota.concurrency
	if limit == 0 || c.inProgress == 0 || c.inProgress+tasks <= limit {
		return nil
	}
	excess := c.inProgress + tasks - limit
	return model.NewRefusal(model.CodeQuota, q.retryAfter(excess, now), "the caller has %d tasks in progress of %d", c.inProgress, limit)
}

// checkQueueLimit limits the number of waiting tasks and, once the queue is fuller
// than fairShareThresholdPercent, each caller's share of them. The shares always
// leave room for one more caller of weight 1, so that no single caller can fill
// the queue. A caller without waiting tasks is exempt from its share.
func (q *Queue) checkQueueLimit(c *caller, tasks int, now time.Time) *model.Refusal {
	limit := q.limits.QueuedTasks
	if after := q.waiting + tasks; after > limit {
		return model.NewRefusal(model.CodeOverloaded, q.retryAfter(after-limit, now), "%d tasks are waiting", q.waiting)
	}
	if 100*(q.waiting+tasks) <= fairShareThresholdPercent*limit {
		return nil
	}
	share := float64(limit) * c.weight / (q.activeWeightWith(c) + 1)
	after := c.waiting + tasks
	if c.waiting == 0 || float64(after) <= share {
		return nil
	}
	excess := after - int(share)
	return model.NewRefusal(model.CodeOverloaded, q.retryAfter(excess, now), "%d of the caller's tasks are waiting", c.waiting)
}

// activeWeightWith returns the total weight of c and all callers with waiting
// tasks.
func (q *Queue) activeWeightWith(c *caller) float64 {
	if c.waiting > 0 {
		return q.activeWeight
	}
	return q.activeWeight + c.weight
}

// checkExpectedCompletion refuses a job that is not expected to complete within
// its timeout. The expected time is the wait until its last task is dequeued plus
// the duration of its longest task, which is the larger of an estimate from the
// caller's recent tasks and the longest declared run time. Without a backlog no
// job is refused because of an estimate.
func (q *Queue) checkExpectedCompletion(c *caller, spec model.JobSpec, now time.Time) *model.Refusal {
	wait := q.expectedWait(c, len(spec.Tasks), now)
	if wait == 0 {
		return nil
	}
	expected := wait + max(c.taskDurations.estimate(len(spec.Tasks), now), longestDeclared(spec.Tasks))
	if expected <= spec.Timeout {
		return nil
	}
	return model.NewRefusal(model.CodeOverloaded, clampRetryAfter(expected-spec.Timeout), "the expected wait is %s, the expected time %s", wait.Round(time.Millisecond), expected.Round(time.Millisecond))
}

// expectedWait returns the time until the last of the given number of additional
// tasks of a caller would be dequeued. Fair queueing bounds it by the caller's
// own backlog at its share of the rate, and also by the whole backlog at the
// whole rate. Later jobs of the same caller may overtake the job, which adds up
// to delayPerTask for each of its tasks but one. A stall adds as long as it has lasted.
func (q *Queue) expectedWait(c *caller, tasks int, now time.Time) time.Duration {
	rate := q.drainRate.current(q.capacity.TasksPerSecond, now)
	if rate <= 0 || !q.backlogged(now) {
		return 0
	}
	own := float64(c.waiting+tasks) * q.activeWeightWith(c) / c.weight
	all := float64(q.waiting + tasks)
	overtaken := time.Duration(tasks-1) * delayPerTask
	return secondsToDuration(min(own, all)/rate) + overtaken + q.drainRate.stall(now)
}

// backlogged reports whether a new job would have to wait because the tasks
// waiting here already need all free slots. Other entries use the slots too, so
// without a free slot a new job has to wait even if this queue is empty, provided
// that a recent measurement of the drain rate shows that there was a backlog.
func (q *Queue) backlogged(now time.Time) bool {
	if q.waiting < q.capacity.Free {
		return false
	}
	return q.waiting > 0 || q.drainRate.isFresh(now)
}

// retryAfter returns the time in which the given number of tasks is dequeued at
// the current rate.
func (q *Queue) retryAfter(tasks int, now time.Time) time.Duration {
	rate := q.drainRate.current(q.capacity.TasksPerSecond, now)
	if rate <= 0 {
		return defaultRetryAfter
	}
	return clampRetryAfter(secondsToDuration(float64(tasks)/rate) + q.drainRate.stall(now))
}

// secondsToDuration converts seconds to a duration of at most 24 hours, which
// avoids an overflow.
func secondsToDuration(seconds float64) time.Duration {
	const limit = 24 * time.Hour
	if seconds > limit.Seconds() {
		return limit
	}
	return time.Duration(seconds * float64(time.Second))
}
