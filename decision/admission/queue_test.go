package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
)

// dequeueJobNumbers dequeues up to count tasks and returns the numbers of their
// jobs.
func dequeueJobNumbers(q *Queue, count int, now time.Time) []int {
	var list []int
	for range count {
		ref, ok := q.Next(now)
		if !ok {
			return list
		}
		list = append(list, int(ref.Key.ID[15]))
	}
	return list
}

func TestOrderWithinCaller(t *testing.T) {
	cases := []struct {
		name  string
		gap   time.Duration
		tasks []int
		want  []int
	}{
		{"smaller first", 0, []int{3, 1}, []int{2, 1, 1, 1}},
		{"oldest first among equals", time.Millisecond, []int{2, 2}, []int{1, 1, 2, 2}},
		{"much older first", time.Second, []int{3, 1}, []int{1, 1, 1, 2}},
		{"started job is finished first", 0, []int{2, 2}, []int{1, 1, 2, 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			queue := NewQueue()
			now := testStart
			for i, tasks := range c.tasks {
				must.Nil(t, submit(queue, "a", i+1, tasks, now))
				now = now.Add(c.gap)
			}
			must.Eq(t, c.want, dequeueJobNumbers(queue, 10, now))
		})
	}
}

// TestLargeJobIsNotStarved keeps submitting small jobs after a large one: only those
// submitted within delayPerTask for each task of the large job may overtake it.
func TestLargeJobIsNotStarved(t *testing.T) {
	queue := NewQueue()
	must.Nil(t, submit(queue, "a", 0, 100, testStart))
	now := testStart
	for number := 1; ; number++ {
		must.Less(t, 150, number)
		must.Nil(t, submit(queue, "a", number, 1, now))
		ref, _ := queue.Next(now)
		if ref.Key == testKey("a", 0) {
			break
		}
		now = now.Add(delayPerTask)
	}
	must.Eq(t, 100*delayPerTask, now.Sub(testStart).Round(2*delayPerTask))
}

func TestRequeuedTaskIsNext(t *testing.T) {
	queue := NewQueue()
	submit(queue, "a", 1, 3, testStart)
	first, _ := queue.Next(testStart)
	must.Eq(t, 0, first.Index)
	second, _ := queue.Next(testStart)
	must.Eq(t, 1, second.Index)
	queue.Requeue(first, testStart)
	must.Eq(t, 2, queue.Waiting())
	for _, want := range []int{0, 2} {
		ref, ok := queue.Next(testStart)
		must.True(t, ok)
		must.Eq(t, want, ref.Index)
	}
}

func TestRequeueReturnsCharge(t *testing.T) {
	queue := NewQueue()
	submit(queue, "a", 1, 10, testStart)
	submit(queue, "b", 2, 10, testStart)
	for range 6 {
		ref, _ := queue.Next(testStart)
		must.Eq(t, "a", ref.Key.Caller)
		queue.Requeue(ref, testStart)
	}
	must.Eq(t, []int{1, 2, 1, 2}, dequeueJobNumbers(queue, 4, testStart))
}

// TestIdleCallerGetsNoCredit checks that a caller is not served more than its share
// to compensate for a time in which it had no tasks.
func TestIdleCallerGetsNoCredit(t *testing.T) {
	queue := NewQueue()
	submit(queue, "a", 1, 60, testStart)
	dequeueJobNumbers(queue, 50, testStart)
	submit(queue, "b", 2, 10, testStart)
	must.Eq(t, []int{2, 1, 2, 1, 2, 1}, dequeueJobNumbers(queue, 6, testStart))
}

func TestNoTaskIsReadyBeforeEnqueue(t *testing.T) {
	queue := NewQueue()
	must.Nil(t, queue.Admit(spec("a", 1, 2), testStart))
	_, ok := queue.Next(testStart)
	must.False(t, ok)
	must.Eq(t, 2, queue.Waiting())
}

func TestAdoptedJobIsNotChecked(t *testing.T) {
	queue := NewQueue()
	queue.SetCapacity(Capacity{})
	queue.Adopt(testKey("a", 1), 2, testStart)
	queue.Enqueue(testKey("a", 1), []int{4, 7}, testStart)
	for _, want := range []int{4, 7} {
		ref, ok := queue.Next(testStart)
		must.True(t, ok)
		must.Eq(t, want, ref.Index)
	}
	must.Eq(t, 0, queue.Waiting())
}

// TestBurstDoesNotDelayOtherCallers dequeues 100 tasks per second while one caller
// submits 500 and another one 40: the latter is never refused, and at most 3 tasks
// are dequeued between the submission of one of its tasks and that task.
func TestBurstDoesNotDelayOtherCallers(t *testing.T) {
	const tick = 10 * time.Millisecond
	queue := NewQueue()
	queue.ApplyBundle(bundle(model.Limits{QueuedTasks: 400}), 1, testStart)
	sent := make(map[model.JobKey]int)
	now := testStart
	burstRefused := 0
	for step := range 3000 {
		for i := range 5 {
			if submit(queue, "burst", step*5+i, 1, now) != nil {
				burstRefused++
			}
		}
		if step%5 < 2 {
			must.Nil(t, submit(queue, "steady", step, 1, now))
			sent[testKey("steady", step)] = step
		}
		ref, ok := queue.Next(now)
		must.True(t, ok)
		if ref.Key.Caller == "steady" {
			must.LessEq(t, 3, step-sent[ref.Key])
		}
		queue.TaskEnded(ref.Key)
		queue.Remove(ref.Key, now)
		now = now.Add(tick)
	}
	must.Between(t, 12_000, burstRefused, 13_500)
}

func BenchmarkNext(b *testing.B) {
	queue := NewQueue()
	for i := range 100 {
		submit(queue, string(rune('a'+i%20)), i, 100, testStart)
	}
	b.ReportAllocs()
	for b.Loop() {
		ref, _ := queue.Next(testStart)
		queue.Requeue(ref, testStart)
	}
}

func BenchmarkFiftyTaskJob(b *testing.B) {
	queue := NewQueue()
	b.ReportAllocs()
	for b.Loop() {
		submit(queue, "a", 1, 50, testStart)
		for range 50 {
			ref, _ := queue.Next(testStart)
			queue.TaskEnded(ref.Key)
		}
		queue.Remove(testKey("a", 1), testStart)
	}
}
