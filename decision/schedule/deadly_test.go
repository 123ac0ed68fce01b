package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/work"
)

const (
	// deadlyFrom and deadlyUntil bound the time in which jobs with deadly tasks are
	// submitted; loadUntil is when the load ends.
	deadlyFrom  = 2 * time.Second
	deadlyUntil = 12 * time.Second
	loadUntil   = 24 * time.Second
	// answerTime is how long callers get after the load for their answers.
	answerTime = 6 * time.Second
	// startsAllowed is the number of starts of a task that the users allow at the most:
	// fewer than three more after three minions have crashed under it.
	startsAllowed = 5
)

// load is the traffic of one route.
type load struct {
	route string
	// perSecond is the rate of jobs, deadlyShare the share of them with a deadly task.
	perSecond   float64
	deadlyShare float64
	tasks       int
	runTime     time.Duration
}

// deadlyDay is a fleet of eleven minions at about seven tenths of its capacity, with
// deadly tasks in one of three routes.
type deadlyDay struct {
	*simulation
	loads []load
	// due is the next submission of each load.
	due []time.Time
	// during counts the jobs of a route that were submitted while deadly tasks came,
	// inTime those of them that were completed within three times their objective.
	during, inTime map[string]int
	submittedAt    map[work.JobID]time.Time
}

func newDeadlyDay(t *testing.T, seed uint64, loads []load) *deadlyDay {
	var routes []manifest.Route
	for i, one := range loads {
		routes = append(routes, manifest.Route{
			Name: one.route, Host: "h", Prefix: "/" + one.route + "/", Service: "desk", Priority: i, Attempts: 3, Stretch: 1.6, Objective: 60 * time.Millisecond,
		})
	}
	day := &deadlyDay{
		simulation: newFleet(t, seed, 3, 11, routes), loads: loads, due: make([]time.Time, len(loads)),
		during: make(map[string]int), inTime: make(map[string]int), submittedAt: make(map[work.JobID]time.Time),
	}
	day.faultFree = true
	for i := range day.due {
		day.due[i] = day.now
	}
	return day
}

// run plays the load and then waits for the last answers.
func (d *deadlyDay) run() {
	for elapsed := time.Duration(0); elapsed < loadUntil+answerTime; elapsed = d.now.Sub(simulationStart) {
		for i := range d.loads {
			for elapsed < loadUntil && !d.due[i].After(d.now) {
				d.due[i] = d.due[i].Add(time.Duration(float64(time.Second) / d.loads[i].perSecond))
				d.submitJob(&d.loads[i], elapsed >= deadlyFrom && elapsed < deadlyUntil)
			}
		}
		d.step()
		d.countInTime()
	}
}

// submitJob submits a job of the load at a random entry.
func (d *deadlyDay) submitJob(from *load, deadlyTime bool) {
	c := &caller{job: work.JobID(fmt.Sprintf("%s-%d", from.route, len(d.callers))), route: from.route, tasks: from.tasks}
	d.runTimes[c.job] = from.runTime
	d.submittedAt[c.job] = d.now
	d.callers = append(d.callers, c)
	if deadlyTime && d.random.Float64() < from.deadlyShare {
		d.deadly[work.TaskKey{Job: c.job, Index: d.drawInt(0, from.tasks-1)}] = true
		d.mayFail[c.job] = true
	} else if deadlyTime {
		d.during[from.route]++
	}
	entry := d.entries[d.drawInt(0, len(d.entries)-1)]
	if !entry.alive(d.now) {
		c.resubmitAt = d.now.Add(resubmitAfter)
		return
	}
	d.submitTo(c, entry)
}

// countInTime counts the jobs that have been completed within three times their
// objective.
func (d *deadlyDay) countInTime() {
	for _, c := range d.callers {
		at, open := d.submittedAt[c.job]
		if !open || !c.finished {
			continue
		}
		delete(d.submittedAt, c.job)
		after := at.Sub(simulationStart)
		limit := 3 * time.Duration(1.6*float64(d.runTimes[c.job])+float64(60*time.Millisecond))
		if c.completed && !d.mayFail[c.job] && after >= deadlyFrom && after < deadlyUntil && d.now.Sub(at) <= limit {
			d.inTime[c.route]++
		}
	}
}

// share returns the share of the innocent jobs of a route that were served in time
// while deadly tasks came.
func (d *deadlyDay) share(route string) float64 {
	return float64(d.inTime[route]) / float64(d.during[route])
}

// mostStarts returns the largest number of starts of a deadly task.
func (d *deadlyDay) mostStarts() int {
	most := 0
	for task := range d.deadly {
		most = max(most, d.startCount[task])
	}
	return most
}

// deadlyLoads are three routes that need about the same worth of work a second, as the
// users' days have them, with deadly jobs in one of them.
func deadlyLoads(in int, share float64) []load {
	loads := []load{
		{route: "small", perSecond: 25, tasks: 6, runTime: 60 * time.Millisecond},
		{route: "many", perSecond: 25, tasks: 2, runTime: 200 * time.Millisecond},
		{route: "long", perSecond: 1.5, tasks: 4, runTime: 900 * time.Millisecond},
	}
	loads[in].deadlyShare = share
	return loads
}

// TestOneRouteWithDeadlyTasksTakesNoOtherDown guards against a fleet that one route's
// deadly tasks bring down for the callers of all others.
func TestOneRouteWithDeadlyTasksTakesNoOtherDown(t *testing.T) {
	for in, share := range []float64{0.12, 0.04, 0.5} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("route %d seed %d", in, seed), func(t *testing.T) {
				t.Parallel()
				day := newDeadlyDay(t, seed, deadlyLoads(in, share))
				day.run()
				for i, one := range day.loads {
					t.Logf("%s: %.2f of %d served", one.route, day.share(one.route), day.during[one.route])
					if i != in {
						must.GreaterEq(t, 0.9, day.share(one.route))
					}
				}
				t.Logf("a deadly task was started %d times", day.mostStarts())
			})
		}
	}
}

// TestDeadlyTaskIsGivenUp guards against a task that is started again and again
// although each minion crashes under it.
func TestDeadlyTaskIsGivenUp(t *testing.T) {
	day := newDeadlyDay(t, 1, deadlyLoads(1, 0.01))
	day.run()
	must.MapNotEmpty(t, day.deadly)
	must.LessEq(t, startsAllowed, day.mostStarts())
	for _, c := range day.callers {
		if day.mayFail[c.job] {
			must.False(t, c.completed)
		}
	}
}

// TestDeadlyTaskIsGivenUpAfterItsEntryDied guards against a count of crashes that ends
// with the entry that kept it.
func TestDeadlyTaskIsGivenUpAfterItsEntryDied(t *testing.T) {
	day := newDeadlyDay(t, 2, deadlyLoads(0, 0))
	run := func(length time.Duration) {
		for until := day.now.Add(length); day.now.Before(until); {
			day.step()
		}
	}
	run(time.Second)
	c := &caller{job: "deadly", route: "small", tasks: 1}
	day.runTimes[c.job] = 60 * time.Millisecond
	day.deadly[work.TaskKey{Job: c.job}] = true
	day.mayFail[c.job] = true
	day.callers = append(day.callers, c)
	for _, entry := range day.entries {
		day.submitTo(c, entry)
		run(30 * time.Millisecond)
		entry.restart(day.now.Add(200 * time.Millisecond))
		run(resubmitAfter)
	}
	day.submitTo(c, day.entries[0])
	run(3 * time.Second)
	must.LessEq(t, 3, day.startCount[work.TaskKey{Job: c.job}])
	must.True(t, c.finished)
	must.False(t, c.completed)
}
