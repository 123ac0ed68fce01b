package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/figring/figring/model"
)

func TestLongest(t *testing.T) {
	hundred := maxDurationEstimator{}
	for i := range 4 * durationsPerRefresh {
		hundred.add(time.Duration(i+1)*time.Millisecond, testStart)
	}
	young := maxDurationEstimator{}
	for range durationsPerRefresh - 1 {
		young.add(time.Second, testStart)
	}
	cases := []struct {
		name  string
		known *maxDurationEstimator
		tasks int
		want  time.Duration
	}{
		{"one task", &hundred, 1, 122 * time.Millisecond},
		{"two tasks", &hundred, 2, 125 * time.Millisecond},
		{"more tasks than times", &hundred, model.MaxTasksPerJob, 128 * time.Millisecond},
		{"too little known", &young, 10, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, c.known.estimate(c.tasks, testStart))
		})
	}
	must.Positive(t, hundred.estimate(1, testStart.Add(maxDurationAge)))
	must.Zero(t, hundred.estimate(1, testStart.Add(maxDurationAge+1)))
}

// TestLongestIsOneOfTheLatest checks that an estimate is a time that was seen
// lately, and not less for a larger job.
func TestLongestIsOneOfTheLatest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.SliceOfN(rapid.IntRange(1, 5000), durationsPerRefresh, 3*durationWindow).Draw(t, "times")
		known := maxDurationEstimator{}
		for _, one := range times {
			known.add(time.Duration(one), testStart)
		}
		latest := times[max(0, len(times)-durationWindow-durationsPerRefresh):]
		before := time.Duration(0)
		for _, tasks := range []int{1, 3, 10, 40, model.MaxTasksPerJob} {
			got := known.estimate(tasks, testStart)
			found := false
			for _, one := range latest {
				found = found || time.Duration(one) == got
			}
			if !found || got < before {
				t.Fatalf("%s for %d tasks, %s for fewer", got, tasks, before)
			}
			before = got
		}
	})
}

// overloadedRun is a simulation of one queue at twice its rate. Its targets
// take a task in each step, and each runs for a time of its own.
type overloadedRun struct {
	source *rand.Rand
	queue  *Queue
	now    time.Time
	left   map[model.JobKey]int
	ends   map[model.JobKey]time.Time
	number int
	// due is the number of tasks that are still to be submitted.
	due int
}

const (
	simulatedStep    = 10 * time.Millisecond
	simulatedTimeout = 5 * time.Second
	simulatedWarmUp  = 15 * time.Second
)

func (r *overloadedRun) submit() {
	r.due += 2
	for r.due > 0 {
		r.number++
		tasks := 1 + r.source.IntN(20)
		r.due -= tasks
		one := spec("a", r.number, tasks)
		one.Timeout = simulatedTimeout
		if r.queue.Admit(one, r.now) == nil {
			r.queue.Enqueue(one.Key, indexes(tasks), r.now)
			r.left[one.Key] = tasks
			r.ends[one.Key] = r.now
		}
	}
}

func (r *overloadedRun) serve() {
	ref, ok := r.queue.Next(r.now)
	if !ok {
		return
	}
	took := 50*time.Millisecond + time.Duration(r.source.IntN(900))*time.Millisecond
	if r.source.IntN(100) < 3 {
		took = 2*time.Second + time.Duration(r.source.IntN(2000))*time.Millisecond
	}
	r.queue.RecordTaskDuration(ref.Key, took, r.now)
	r.left[ref.Key]--
	if end := r.now.Add(took); end.After(r.ends[ref.Key]) {
		r.ends[ref.Key] = end
	}
}

// TestAdmittedJobsEndInTime lets jobs arrive at twice the rate at which they
// are served: nearly all admitted ones end within their timeout, and there is
// always one to serve.
func TestAdmittedJobsEndInTime(t *testing.T) {
	run := &overloadedRun{
		source: rand.New(rand.NewPCG(1, 2)), queue: NewQueue(), now: testStart,
		left: make(map[model.JobKey]int), ends: make(map[model.JobKey]time.Time),
	}
	run.queue.SetCapacity(Capacity{Targets: 1, TasksPerSecond: 100})
	admitted := make(map[model.JobKey]time.Time)
	idle := 0
	for run.now.Before(testStart.Add(time.Minute)) {
		first := run.number
		run.submit()
		for number := first + 1; number <= run.number; number++ {
			if key := testKey("a", number); run.left[key] > 0 && run.now.After(testStart.Add(simulatedWarmUp)) {
				admitted[key] = run.now
			}
		}
		if run.queue.Waiting() == 0 {
			idle++
		}
		run.serve()
		run.now = run.now.Add(simulatedStep)
	}
	late := 0
	for key, since := range admitted {
		if run.ends[key].Sub(since) > simulatedTimeout {
			late++
		}
	}
	must.Greater(t, 200, len(admitted))
	must.Less(t, len(admitted)/20, late, must.Sprintf("%d of %d late", late, len(admitted)))
	must.Less(t, 60, idle, must.Sprint("steps without a task to serve, of 6000"))
}
