package admission

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/figring/figring/model"
)

// quota bounds one caller's rate of admission and its tasks in progress. Both
// are this entry's part of what the bundle gives for the whole system.
type quota struct {
	limiter     *rate.Limiter
	concurrency int
}

// apply takes the caller's bounds, divided by the number of live entries. What
// was admitted before still counts.
func (q *quota) apply(caller model.Caller, entries int, now time.Time) {
	q.concurrency = divideUp(caller.Concurrency, entries)
	if caller.TasksPerSecond <= 0 {
		q.limiter = nil
		return
	}
	limit := rate.Limit(caller.TasksPerSecond / float64(entries))
	burst := burstOf(caller, entries)
	if q.limiter == nil {
		q.limiter = rate.NewLimiter(limit, burst)
		return
	}
	q.limiter.SetLimitAt(now, limit)
	q.limiter.SetBurstAt(now, burst)
}

// burstOf returns this entry's part of the burst, but at least one job of the
// largest size that the caller's whole burst allows: a job is admitted by one
// entry and must not be refused for ever because there are many.
func burstOf(caller model.Caller, entries int) int {
	whole := caller.Burst
	if whole == 0 {
		whole = max(int(caller.TasksPerSecond), model.MaxTasksPerJob)
	}
	return max(divideUp(whole, entries), min(whole, model.MaxTasksPerJob))
}

func divideUp(whole, parts int) int {
	return (whole + parts - 1) / parts
}

// take uses up the quota for tasks, or returns a refusal and uses up nothing.
func (q *quota) take(tasks int, now time.Time) *model.Refusal {
	if q.limiter == nil {
		return nil
	}
	reservation := q.limiter.ReserveN(now, tasks)
	if !reservation.OK() {
		return model.NewRefusal(model.CodeQuota, 0, "a job of %d tasks exceeds the caller's burst of %d", tasks, q.limiter.Burst())
	}
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return nil
	}
	reservation.CancelAt(now)
	return model.NewRefusal(model.CodeQuota, clampRetry(delay), "the caller's rate of tasks is used up")
}

func clampRetry(delay time.Duration) time.Duration {
	return min(max(delay, minRetryAfter), maxRetryAfter)
}
