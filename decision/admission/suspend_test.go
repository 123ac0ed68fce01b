package admission

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/figring/figring/model"
)

func peekKey(t *testing.T, q *Queue) model.JobKey {
	t.Helper()
	ref, ok := q.Peek()
	must.True(t, ok)
	return ref.Key
}

// TestSuspendExposesNextJob suspends one job after the other: Peek returns a task of
// each of the three jobs, of both callers, and the original order is restored by
// Resume.
func TestSuspendExposesNextJob(t *testing.T) {
	q := NewQueue()
	must.Nil(t, submit(q, "a", 1, 1, testStart))
	must.Nil(t, submit(q, "a", 2, 1, testStart))
	must.Nil(t, submit(q, "b", 3, 1, testStart))
	first := peekKey(t, q)
	seen := []model.JobKey{first}
	for range 2 {
		must.True(t, q.Suspend())
		seen = append(seen, peekKey(t, q))
	}
	must.SliceContainsAll(t, []model.JobKey{testKey("a", 1), testKey("a", 2), testKey("b", 3)}, seen)
	must.True(t, q.Suspend())
	_, ok := q.Peek()
	must.False(t, ok)
	must.False(t, q.Suspend())
	must.EqOp(t, 3, q.Waiting())
	q.Resume()
	must.EqOp(t, first, peekKey(t, q))
}

// TestSuspendLimitPerCaller suspends jobs of a caller that has more jobs than may be
// suspended in total: the other caller's job must still be reached.
func TestSuspendLimitPerCaller(t *testing.T) {
	q := NewQueue()
	for i := range 2 * maxSuspendedJobs {
		must.Nil(t, submit(q, "a", i, 1, testStart))
	}
	must.Nil(t, submit(q, "b", 9999, 1, testStart))
	passed := 0
	for peekKey(t, q).Caller != "b" {
		must.True(t, q.Suspend())
		passed++
	}
	must.LessEq(t, maxSuspendedPerCaller, passed)
	_, _ = q.Next(testStart)
	q.Resume()
	for range 2 * maxSuspendedJobs {
		ref, ok := q.Next(testStart)
		must.True(t, ok)
		must.EqOp(t, "a", ref.Key.Caller)
	}
	must.EqOp(t, 0, q.Waiting())
}

// TestSuspendLimit checks the limit on suspended jobs with one job per caller.
func TestSuspendLimit(t *testing.T) {
	q := NewQueue()
	for i := range maxSuspendedJobs + 1 {
		must.Nil(t, submit(q, string(rune('a'+i)), i, 1, testStart))
	}
	for range maxSuspendedJobs {
		must.True(t, q.Suspend())
	}
	must.False(t, q.Suspend())
	q.Resume()
	must.True(t, q.Suspend())
}

// TestSuspendKeepsEveryTask mixes suspensions with random other operations: each
// task of a job that is not removed is dequeued exactly once, and no task of a
// suspended job before Resume.
func TestSuspendKeepsEveryTask(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		given := make(map[model.TaskRef]int)
		held := make(map[model.JobKey]bool)
		want := make(map[model.JobKey]int)
		next := func() bool {
			ref, ok := q.Next(testStart)
			if ok && held[ref.Key] {
				t.Fatalf("%v was dequeued while suspended", ref)
			}
			if ok {
				given[ref]++
			}
			return ok
		}
		for number := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				caller := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller")
				tasks := rapid.IntRange(1, 3).Draw(t, "tasks")
				if submit(q, caller, number, tasks, testStart) == nil {
					want[testKey(caller, number)] = tasks
				}
			case 2:
				if ref, ok := q.Peek(); ok && q.Suspend() {
					held[ref.Key] = true
				}
			case 3:
				q.Resume()
				clear(held)
			case 4:
				next()
			case 5:
				for key := range want {
					if held[key] && rapid.Bool().Draw(t, "remove") {
						q.Remove(key, testStart)
						delete(want, key)
						for ref := range given {
							if ref.Key == key {
								delete(given, ref)
							}
						}
						break
					}
				}
			}
		}
		q.Resume()
		clear(held)
		for next() {
		}
		for key, tasks := range want {
			for index := range tasks {
				if count := given[model.TaskRef{Key: key, Index: index}]; count != 1 {
					t.Fatalf("task %d of %v was dequeued %d times", index, key, count)
				}
			}
		}
		if q.Waiting() != 0 {
			t.Fatalf("%d tasks are still waiting", q.Waiting())
		}
	})
}
