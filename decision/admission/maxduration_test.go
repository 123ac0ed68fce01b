package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/figring/figring/model"
)

func TestMaxDurationEstimate(t *testing.T) {
	filled := maxDurationEstimator{}
	for i := range 4 * durationsPerRefresh {
		filled.add(time.Duration(i+1)*time.Millisecond, testStart)
	}
	tooFew := maxDurationEstimator{}
	for range durationsPerRefresh - 1 {
		tooFew.add(time.Second, testStart)
	}
	cases := []struct {
		name      string
		estimator *maxDurationEstimator
		tasks     int
		want      time.Duration
	}{
		{"one task", &filled, 1, 122 * time.Millisecond},
		{"two tasks", &filled, 2, 125 * time.Millisecond},
		{"more tasks than durations", &filled, model.MaxTasksPerJob, 128 * time.Millisecond},
		{"too few durations", &tooFew, 10, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, c.estimator.estimate(c.tasks, testStart))
		})
	}
	must.Positive(t, filled.estimate(1, testStart.Add(maxDurationAge)))
	must.Zero(t, filled.estimate(1, testStart.Add(maxDurationAge+1)))
}

// TestMaxDurationEstimateIsRecentDuration checks that an estimate is one of the
// recent durations and does not decrease with the number of tasks.
func TestMaxDurationEstimateIsRecentDuration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		durations := rapid.SliceOfN(rapid.IntRange(1, 5000), durationsPerRefresh, 3*durationWindow).Draw(t, "durations")
		estimator := maxDurationEstimator{}
		for _, one := range durations {
			estimator.add(time.Duration(one), testStart)
		}
		recent := durations[max(0, len(durations)-durationWindow-durationsPerRefresh):]
		previous := time.Duration(0)
		for _, tasks := range []int{1, 3, 10, 40, model.MaxTasksPerJob} {
			got := estimator.estimate(tasks, testStart)
			found := false
			for _, one := range recent {
				found = found || time.Duration(one) == got
			}
			if !found || got < previous {
				t.Fatalf("estimate %s for %d tasks is not a recent duration or is below %s for fewer", got, tasks, previous)
			}
			previous = got
		}
	})
}

// overloadSimulation simulates one queue that is offered twice the tasks that its
// targets can take. One task is dequeued in each step and runs for a random time.
type overloadSimulation struct {
	random       *rand.Rand
	queue        *Queue
	now          time.Time
	undispatched map[model.JobKey]int
	completedAt  map[model.JobKey]time.Time
	lastJob      int
	// unsubmitted is the number of tasks still to be submitted; it is negative if
	// the last job had more tasks.
	unsubmitted int
}

const (
	simulationStep    = 10 * time.Millisecond
	simulationTimeout = 5 * time.Second
	simulationWarmUp  = 15 * time.Second
)

func (r *overloadSimulation) submit() {
	r.unsubmitted += 2
	for r.unsubmitted > 0 {
		r.lastJob++
		tasks := 1 + r.random.IntN(20)
		r.unsubmitted -= tasks
		job := spec("a", r.lastJob, tasks)
		job.Timeout = simulationTimeout
		if r.queue.Admit(job, r.now) == nil {
			r.queue.Enqueue(job.Key, firstIndexes(tasks), r.now)
			r.undispatched[job.Key] = tasks
			r.completedAt[job.Key] = r.now
		}
	}
}

func (r *overloadSimulation) serve() {
	ref, ok := r.queue.Next(r.now)
	if !ok {
		return
	}
	duration := 50*time.Millisecond + time.Duration(r.random.IntN(900))*time.Millisecond
	if r.random.IntN(100) < 3 {
		duration = 2*time.Second + time.Duration(r.random.IntN(2000))*time.Millisecond
	}
	r.queue.RecordTaskDuration(ref.Key, duration, r.now)
	r.undispatched[ref.Key]--
	if end := r.now.Add(duration); end.After(r.completedAt[ref.Key]) {
		r.completedAt[ref.Key] = end
	}
}

// TestAdmittedJobsMeetTimeoutUnderOverload submits jobs at twice the rate at which
// they are served: more than 95% of the admitted jobs complete within their timeout,
// and the queue is almost never empty.
func TestAdmittedJobsMeetTimeoutUnderOverload(t *testing.T) {
	run := &overloadSimulation{
		random: rand.New(rand.NewPCG(1, 2)), queue: NewQueue(), now: testStart,
		undispatched: make(map[model.JobKey]int), completedAt: make(map[model.JobKey]time.Time),
	}
	run.queue.SetCapacity(Capacity{Targets: 1, TasksPerSecond: 100})
	admitted := make(map[model.JobKey]time.Time)
	idle := 0
	for run.now.Before(testStart.Add(time.Minute)) {
		previousJob := run.lastJob
		run.submit()
		for number := previousJob + 1; number <= run.lastJob; number++ {
			if key := testKey("a", number); run.undispatched[key] > 0 && run.now.After(testStart.Add(simulationWarmUp)) {
				admitted[key] = run.now
			}
		}
		if run.queue.Waiting() == 0 {
			idle++
		}
		run.serve()
		run.now = run.now.Add(simulationStep)
	}
	late := 0
	for key, since := range admitted {
		if run.completedAt[key].Sub(since) > simulationTimeout {
			late++
		}
	}
	must.Greater(t, 200, len(admitted))
	must.Less(t, len(admitted)/20, late, must.Sprintf("%d of %d jobs late", late, len(admitted)))
	must.Less(t, 60, idle, must.Sprint("steps with an empty queue, of 6000"))
}
