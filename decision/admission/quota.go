package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/figring/figring/model"
)

// defaultBurst is the time whose worth of tasks may be admitted at once when
// the bundle names no burst.
const defaultBurst = 1 * time.Second

// quota bounds one caller's rate of admission and its tasks in progress. Both
// are this entry's part of what the bundle gives for the whole system.
type quota struct {
	limiter     *rate.Limiter
	concurrency int
	// largest is the size of the largest job allowed.
	largest int
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
	burst := divideUp(wholeBurst(caller), entries)
	q.largest = largestJob(caller)
	if q.limiter == nil {
		q.limiter = rate.NewLimiter(limit, burst)
		return
	}
	q.limiter.SetLimitAt(now, limit)
	q.limiter.SetBurstAt(now, burst)
}

// wholeBurst returns the caller's burst in the whole system: defaultBurst's
// worth of its rate unless the bundle names one.
func wholeBurst(caller model.Caller) int {
	if caller.Burst > 0 {
		return caller.Burst
	}
	return max(1, int(math.Ceil(caller.TasksPerSecond*defaultBurst.Seconds())))
}

// largestJob returns the size of the largest job that the quota allows. Only a
// burst that the bundle names bounds it.
func largestJob(caller model.Caller) int {
	if caller.Burst > 0 {
		return caller.Burst
	}
	return model.MaxTasksPerJob
}

func divideUp(whole, parts int) int {
	return (whole + parts - 1) / parts
}

// take uses up the quota for tasks, or returns a refusal and uses up nothing. A
// job is admitted by one entry, so one larger than this entry's part of the
// burst is admitted when the whole part is there. What is beyond it is a debt,
// which is paid at the caller's rate before anything else is admitted.
func (q *quota) take(tasks int, now time.Time) *model.Refusal {
	if q.limiter == nil {
		return nil
	}
	if tasks > q.largest {
		return model.NewRefusal(model.CodeQuota, 0, "a job of %d tasks exceeds the caller's burst of %d", tasks, q.largest)
	}
	first := min(tasks, q.limiter.Burst())
	reservation := q.limiter.ReserveN(now, first)
	if delay := reservation.DelayFrom(now); delay > 0 {
		reservation.CancelAt(now)
		return model.NewRefusal(model.CodeQuota, clampRetry(delay), "the caller's rate of tasks is used up")
	}
	q.owe(tasks-first, now)
	return nil
}

// owe takes tasks from what the limiter is still to get. A reservation may not
// exceed the burst.
func (q *quota) owe(tasks int, now time.Time) {
	for tasks > 0 {
		part := min(tasks, q.limiter.Burst())
		q.limiter.ReserveN(now, part)
		tasks -= part
	}
}

func clampRetry(delay time.Duration) time.Duration {
	return min(max(delay, minRetryAfter), maxRetryAfter)
}
