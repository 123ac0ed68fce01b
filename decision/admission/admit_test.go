package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
)

func TestAdmitRefuses(t *testing.T) {
	big := spec("a", 1, 1)
	big.Tasks[0].DeclaredSize = 101
	late := spec("a", 1, 1)
	late.Timeout = 0
	long := spec("a", 1, 1)
	long.Timeout = DefaultMaxTimeout + 1
	capacity := Capacity{Targets: 1, LargestMemoryBytes: 100, TasksPerSecond: 10}
	quotas := func(one model.Caller) func(*Queue) {
		return func(q *Queue) { q.ApplyBundle(bundle(model.Limits{}, one), 2, testStart) }
	}
	cases := []struct {
		name  string
		setup func(*Queue)
		spec  model.JobSpec
		code  model.Code
		retry time.Duration
	}{
		{"no tasks", nil, spec("a", 1, 0), model.CodeInvalid, 0},
		{"too many tasks", nil, spec("a", 1, model.MaxTasksPerJob+1), model.CodeTooLarge, 0},
		{"timeout elapsed", nil, late, model.CodeUnrunnable, 0},
		{"timeout too long", nil, long, model.CodeInvalid, 0},
		{"larger than any target", func(q *Queue) { q.SetCapacity(capacity) }, big, model.CodeUnrunnable, 0},
		{"no target", func(q *Queue) { q.SetCapacity(Capacity{}) }, spec("a", 1, 1), model.CodeNoCapacity, defaultRetryAfter},
		{"rate", func(q *Queue) {
			quotas(model.Caller{Name: "a", TasksPerSecond: 20, Burst: 200})(q)
			q.Admit(spec("a", 2, 200), testStart)
		}, spec("a", 1, 5), model.CodeQuota, 10500 * time.Millisecond},
		{"default burst is one second of the rate", func(q *Queue) {
			quotas(model.Caller{Name: "a", TasksPerSecond: 20})(q)
			q.Admit(spec("a", 2, 10), testStart)
		}, spec("a", 1, 1), model.CodeQuota, minRetryAfter},
		{"debt of a large job", func(q *Queue) {
			quotas(model.Caller{Name: "a", TasksPerSecond: 20})(q)
			q.Admit(spec("a", 2, 110), testStart)
		}, spec("a", 1, 1), model.CodeQuota, 10100 * time.Millisecond},
		{"larger than the burst", quotas(model.Caller{Name: "a", TasksPerSecond: 20, Burst: 200}), spec("a", 1, 201), model.CodeQuota, 0},
		{"concurrency", func(q *Queue) {
			quotas(model.Caller{Name: "a", Concurrency: 20})(q)
			q.Admit(spec("a", 2, 10), testStart)
		}, spec("a", 1, 1), model.CodeQuota, defaultRetryAfter},
		{"queue limit", func(q *Queue) {
			q.ApplyBundle(bundle(model.Limits{QueuedTasks: 10}), 1, testStart)
			q.Admit(spec("b", 2, 10), testStart)
		}, spec("a", 1, 1), model.CodeOverloaded, defaultRetryAfter},
		{"share above the fair-share threshold", func(q *Queue) {
			q.ApplyBundle(bundle(model.Limits{QueuedTasks: 100}), 1, testStart)
			q.Admit(spec("a", 2, 50), testStart)
		}, spec("a", 1, 1), model.CodeOverloaded, defaultRetryAfter},
		{"expected wait", func(q *Queue) {
			q.SetCapacity(capacity)
			q.Admit(spec("a", 2, 460), testStart)
		}, spec("a", 1, 190), model.CodeOverloaded, 5*time.Second + 189*delayPerTask},
		{"longest task after the wait", func(q *Queue) {
			q.SetCapacity(capacity)
			q.Admit(spec("a", 2, 99), testStart)
			recordDurations(q, 2, 55*time.Second)
		}, spec("a", 1, 1), model.CodeOverloaded, 5 * time.Second},
		{"longest declared run time after the wait", func(q *Queue) {
			q.SetCapacity(capacity)
			q.Admit(spec("a", 2, 99), testStart)
		}, specWithRunTimes(1, 0, 55*time.Second), model.CodeOverloaded, 5110 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			queue := NewQueue()
			if c.setup != nil {
				c.setup(queue)
			}
			before := queue.Waiting()
			refusal := queue.Admit(c.spec, testStart)
			must.NotNil(t, refusal)
			must.Eq(t, c.code, refusal.Code)
			must.Eq(t, model.NotRun, refusal.Outcome)
			must.Eq(t, c.retry, refusal.RetryAfter.Round(time.Millisecond))
			must.Eq(t, before, queue.Waiting())
		})
	}
}

func TestAdmitAccepts(t *testing.T) {
	cases := []struct {
		name  string
		setup func(*Queue)
		spec  model.JobSpec
	}{
		{"largest job in a divided burst", func(q *Queue) {
			q.ApplyBundle(bundle(model.Limits{}, model.Caller{Name: "a", TasksPerSecond: 10}), 8, testStart)
		}, spec("a", 1, model.MaxTasksPerJob)},
		{"one job above the concurrency", func(q *Queue) {
			q.ApplyBundle(bundle(model.Limits{}, model.Caller{Name: "a", Concurrency: 4}), 2, testStart)
		}, spec("a", 1, 10)},
		{"concurrency freed by ended tasks", func(q *Queue) {
			q.ApplyBundle(bundle(model.Limits{}, model.Caller{Name: "a", Concurrency: 4}), 1, testStart)
			submit(q, "a", 2, 4, testStart)
			q.TaskEnded(testKey("a", 2))
		}, spec("a", 1, 1)},
		{"concurrency freed by removal", func(q *Queue) {
			q.ApplyBundle(bundle(model.Limits{}, model.Caller{Name: "a", Concurrency: 4}), 1, testStart)
			submit(q, "a", 2, 4, testStart)
			q.Remove(testKey("a", 2), testStart)
		}, spec("a", 1, 4)},
		{"caller without waiting tasks above the fair-share threshold", func(q *Queue) {
			q.ApplyBundle(bundle(model.Limits{QueuedTasks: 100}), 1, testStart)
			for i := range 200 {
				q.Admit(spec("b", i, 1), testStart)
			}
		}, spec("a", 1, 50)},
		{"small share despite a long queue", func(q *Queue) {
			q.SetCapacity(Capacity{Targets: 1, TasksPerSecond: 10})
			q.Admit(spec("b", 2, 460), testStart)
			q.Admit(spec("b", 3, 130), testStart)
		}, spec("a", 1, 20)},
		{"low weight with a short queue", func(q *Queue) {
			q.ApplyBundle(bundle(model.Limits{}, model.Caller{Name: "b", Weight: 9}), 1, testStart)
			q.SetCapacity(Capacity{Targets: 1, TasksPerSecond: 10})
			q.Admit(spec("b", 2, 10), testStart)
		}, spec("a", 1, 100)},
		{"long tasks without a backlog", func(q *Queue) {
			q.SetCapacity(Capacity{Targets: 1, TasksPerSecond: 10})
			q.Admit(spec("a", 2, 1), testStart)
			recordDurations(q, 2, 2*time.Minute)
			q.Remove(testKey("a", 2), testStart)
		}, spec("a", 1, 5)},
		{"long tasks while slots are free", func(q *Queue) {
			q.SetCapacity(Capacity{Targets: 1, TasksPerSecond: 10, Free: 2})
			q.Admit(spec("a", 2, 1), testStart)
			recordDurations(q, 2, 2*time.Minute)
		}, spec("a", 1, 5)},
		{"quota of a caller that left the bundle", func(q *Queue) {
			q.ApplyBundle(bundle(model.Limits{}, model.Caller{Name: "a", TasksPerSecond: 1, Burst: 1}), 1, testStart)
			q.ApplyBundle(bundle(model.Limits{}), 1, testStart)
		}, spec("a", 1, 5)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			queue := NewQueue()
			c.setup(queue)
			must.Nil(t, queue.Admit(c.spec, testStart))
		})
	}
}

func TestDuplicateJobIsReportedInProgress(t *testing.T) {
	queue := NewQueue()
	must.Nil(t, queue.Admit(spec("a", 1, 1), testStart))
	refusal := queue.Admit(spec("a", 1, 1), testStart)
	must.NotNil(t, refusal)
	must.Eq(t, model.InProgress, refusal.Outcome)
}

func TestRefusedJobUsesNoQuota(t *testing.T) {
	queue := NewQueue()
	queue.ApplyBundle(bundle(model.Limits{}, model.Caller{Name: "a", TasksPerSecond: 10, Burst: 100}), 1, testStart)
	must.Nil(t, queue.Admit(spec("a", 1, 90), testStart))
	for i := range 10 {
		must.NotNil(t, queue.Admit(spec("a", 2+i, 11), testStart))
	}
	must.Nil(t, queue.Admit(spec("a", 20, 10), testStart))
}

func TestApplyBundleKeepsConsumedQuota(t *testing.T) {
	queue := NewQueue()
	limited := bundle(model.Limits{}, model.Caller{Name: "a", TasksPerSecond: 10, Burst: 100})
	queue.ApplyBundle(limited, 1, testStart)
	must.Nil(t, queue.Admit(spec("a", 1, 100), testStart))
	queue.ApplyBundle(limited, 1, testStart)
	must.NotNil(t, queue.Admit(spec("a", 2, 1), testStart))
	must.Nil(t, queue.Admit(spec("a", 2, 10), testStart.Add(time.Second)))
}

// TestMeasuredRateOverridesHint checks that the measured rate of a backlog replaces
// a higher one reported by the router, until the measurement is too old.
func TestMeasuredRateOverridesHint(t *testing.T) {
	queue := NewQueue()
	queue.SetCapacity(Capacity{Targets: 1, TasksPerSecond: 1000})
	submit(queue, "a", 1, 400, testStart)
	now := testStart
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		queue.Next(now)
	}
	must.Between(t, 9.5, queue.drainRate.current(1000, now), 15)
	must.Eq(t, 1000, queue.drainRate.current(1000, now.Add(maxRateAge+1)))
	must.NotNil(t, queue.Admit(spec("a", 2, 400), now))
}

// drain dequeues one task of the queue in each interval until the time.
func drain(queue *Queue, now, until time.Time, interval time.Duration) time.Time {
	for now.Before(until) {
		now = now.Add(interval)
		queue.Next(now)
	}
	return now
}

// TestShortStallRefusesNothing guards against refusing jobs for lack of throughput because
// no task was dequeued for a second, as while a target is replaced: the tasks that wait are
// then divided by a rate of one in that second.
func TestShortStallRefusesNothing(t *testing.T) {
	for drained := time.Second; drained < 1500*time.Millisecond; drained += 10 * time.Millisecond {
		queue := NewQueue()
		queue.SetCapacity(Capacity{Targets: 2, TasksPerSecond: 100})
		must.Nil(t, submit(queue, "a", 1, 200, testStart))
		now := drain(queue, testStart, testStart.Add(drained), 10*time.Millisecond)
		for _, stall := range []time.Duration{600 * time.Millisecond, time.Second, 2500 * time.Millisecond} {
			job := spec("a", 2, 5)
			job.Timeout = 5 * time.Second
			must.Nil(t, queue.checkExpectedCompletion(queue.caller("a"), job, now.Add(stall)), must.Sprint(drained, stall))
		}
	}
}

// TestLongStallRefusesJobsThatCannotWait guards against admitting jobs to a queue from which
// nothing has been dequeued for longer than they can wait.
func TestLongStallRefusesJobsThatCannotWait(t *testing.T) {
	queue := NewQueue()
	queue.SetCapacity(Capacity{Targets: 2, TasksPerSecond: 100})
	must.Nil(t, submit(queue, "a", 1, 200, testStart))
	now := drain(queue, testStart, testStart.Add(1500*time.Millisecond), 10*time.Millisecond)
	job := spec("a", 2, 5)
	job.Timeout = 5 * time.Second
	for _, stall := range []time.Duration{5 * time.Second, 20 * time.Second} {
		must.NotNil(t, queue.checkExpectedCompletion(queue.caller("a"), job, now.Add(stall)), must.Sprint(stall))
	}
}
