package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/figring/figring/model"
)

// defaultBurstWindow sets the burst of a caller for which the bundle names none:
// the tasks that its rate allows in this time.
const defaultBurstWindow = 1 * time.Second

// quota limits one caller's admission rate and its tasks in progress. Both limits
// are this entry's share of the system-wide limits in the bundle.
type quota struct {
	limiter     *rate.Limiter
	concurrency int
	// maxJobTasks is the number of tasks of the largest job allowed.
	maxJobTasks int
}

// apply sets the caller's limits, divided by the number of live entries. Tasks
// admitted before still count towards the rate.
func (q *quota) apply(caller model.Caller, entries int, now time.Time) {
	q.concurrency = ceilDiv(caller.Concurrency, entries)
	if caller.TasksPerSecond <= 0 {
		q.limiter = nil
		return
	}
	limit := rate.Limit(caller.TasksPerSecond / float64(entries))
	burst := ceilDiv(systemBurst(caller), entries)
	q.maxJobTasks = maxJobTasks(caller)
	if q.limiter == nil {
		q.limiter = rate.NewLimiter(limit, burst)
		return
	}
	q.limiter.SetLimitAt(now, limit)
	q.limiter.SetBurstAt(now, burst)
}

// systemBurst returns the caller's system-wide burst: the burst in the bundle, or
// the tasks that the caller's rate allows in defaultBurstWindow.
func systemBurst(caller model.Caller) int {
	if caller.Burst > 0 {
		return caller.Burst
	}
	return max(1, int(math.Ceil(caller.TasksPerSecond*defaultBurstWindow.Seconds())))
}

// maxJobTasks returns the number of tasks of the largest job that the quota allows.
// A default burst does not limit it, only a burst named in the bundle does.
func maxJobTasks(caller model.Caller) int {
	if caller.Burst > 0 {
		return caller.Burst
	}
	return model.MaxTasksPerJob
}

func ceilDiv(whole, parts int) int {
	return (whole + parts - 1) / parts
}

// reserve consumes the quota for a job's tasks, or returns a refusal and consumes
// nothing. A job is admitted by a single entry, so a job larger than this entry's
// share of the burst is admitted once the whole share is available. The rest is a
// debt, which is paid off at the caller's rate before anything else is admitted.
func (q *quota) reserve(tasks int, now time.Time) *model.Refusal {
	if q.limiter == nil {
		return nil
	}
	if tasks > q.maxJobTasks {
		return model.NewRefusal(model.CodeQuota, 0, "a job of %d tasks exceeds the caller's burst of %d", tasks, q.maxJobTasks)
	}
	immediate := min(tasks, q.limiter.Burst())
	reservation := q.limiter.ReserveN(now, immediate)
	if delay := reservation.DelayFrom(now); delay > 0 {
		reservation.CancelAt(now)
		return model.NewRefusal(model.CodeQuota, clampRetryAfter(delay), "the caller's rate of tasks is used up")
	}
	q.reserveDebt(tasks-immediate, now)
	return nil
}

// reserveDebt reserves future tokens of the limiter, in several reservations
// because a single one may not exceed the burst.
func (q *quota) reserveDebt(tasks int, now time.Time) {
	for tasks > 0 {
		part := min(tasks, q.limiter.Burst())
		q.limiter.ReserveN(now, part)
		tasks -= part
	}
}

func clampRetryAfter(delay time.Duration) time.Duration {
	return min(max(delay, minRetryAfter), maxRetryAfter)
}
