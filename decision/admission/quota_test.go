package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/figring/figring/model"
)

// TestAdmissionStaysWithinQuota submits jobs of random sizes to one of several
// entries: the tasks admitted never exceed the entry's share of the rate and of the
// default burst plus the debt that a single job may incur.
func TestAdmissionStaysWithinQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 5).Draw(t, "entries")
		limit := float64(rapid.IntRange(1, 100).Draw(t, "tasksPerSecond"))
		largest := rapid.IntRange(1, 60).Draw(t, "largest")
		queue := NewQueue()
		queue.ApplyBundle(bundle(model.Limits{}, model.Caller{Name: "a", TasksPerSecond: limit}), entries, testStart)
		part := limit / float64(entries)
		now, admitted := testStart, 0
		for number := range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			tasks := rapid.IntRange(1, largest).Draw(t, "tasks")
			if queue.Admit(spec("a", number, tasks), now) == nil {
				admitted += tasks
			}
			most := part*now.Sub(testStart).Seconds() + part*defaultBurstWindow.Seconds() + 1 + float64(largest)
			if float64(admitted) > most {
				t.Fatalf("%d tasks admitted, want at most %f", admitted, most)
			}
		}
	})
}

// TestQuotaRetryAfterIsSufficient checks that a job refused because of the quota is
// admitted after the Retry-After of the refusal if nothing else was admitted in
// between.
func TestQuotaRetryAfterIsSufficient(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := float64(rapid.IntRange(50, 500).Draw(t, "tasksPerSecond"))
		queue := NewQueue()
		queue.ApplyBundle(bundle(model.Limits{}, model.Caller{Name: "a", TasksPerSecond: limit}), 1, testStart)
		must.Nil(t, queue.Admit(spec("a", 0, rapid.IntRange(1, model.MaxTasksPerJob).Draw(t, "first")), testStart))
		next := spec("a", 1, rapid.IntRange(1, model.MaxTasksPerJob).Draw(t, "second"))
		refusal := queue.Admit(next, testStart)
		if refusal == nil {
			return
		}
		must.Less(t, maxRetryAfter, refusal.RetryAfter)
		must.Nil(t, queue.Admit(next, testStart.Add(refusal.RetryAfter+time.Microsecond)))
	})
}
