package ejection

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_800_000_000, 0)

const testClass = "eligibility"

// newFleet returns a detector with targets 0 to size-1.
func newFleet(size int) *Detector[int, string] {
	d := New[int, string](0)
	for id := range size {
		d.Add(id)
	}
	return d
}

// recordSuccesses records three successes for each target but the first.
func recordSuccesses(d *Detector[int, string], size int) {
	for range 3 {
		for id := 1; id < size; id++ {
			d.Result(id, testClass, false, testStart)
		}
	}
}

func TestTargetFailingEveryTaskIsEjectedAfterSevereMinResults(t *testing.T) {
	d := newFleet(11)
	recordSuccesses(d, 11)
	for range severeMinResults - 1 {
		d.Result(0, testClass, true, testStart)
	}
	must.Eq(t, Healthy, d.State(0, testStart))
	d.Result(0, testClass, true, testStart)
	must.Eq(t, Ejected, d.State(0, testStart))
}

func TestTargetFailingHalfIsEjectedAfterModerateMinResults(t *testing.T) {
	d := newFleet(11)
	recordSuccesses(d, 11)
	for i := range moderateMinResults {
		must.Eq(t, Healthy, d.State(0, testStart), must.Sprintf("result %d", i))
		d.Result(0, testClass, i%2 == 1, testStart)
	}
	must.Eq(t, Ejected, d.State(0, testStart))
}

func TestClassFailingEverywhereEjectsNoTarget(t *testing.T) {
	cases := []struct {
		name  string
		class string
	}{
		{"class that succeeds nowhere", "fails everywhere"},
		{"class that succeeded before", testClass},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newFleet(11)
			recordSuccesses(d, 11)
			d.Result(0, testClass, false, testStart)
			for range 40 {
				for id := range 11 {
					d.Result(id, c.class, true, testStart)
				}
			}
			must.Eq(t, 0, d.Ejected())
		})
	}
}

func TestFailureCountsOnlyWhenAnotherTargetSucceededAtTheClass(t *testing.T) {
	d := newFleet(11)
	recordSuccesses(d, 11)
	for range 40 {
		d.Result(0, "only here", true, testStart)
	}
	must.Eq(t, Healthy, d.State(0, testStart))
	d.Result(1, "only here", false, testStart)
	d.Result(0, "only here", true, testStart)
	must.Eq(t, Ejected, d.State(0, testStart))
}

// ejectFirst makes the detector eject target 0.
func ejectFirst(d *Detector[int, string], size int) {
	recordSuccesses(d, size)
	for range severeMinResults {
		d.Result(0, testClass, true, testStart)
	}
}

func TestProbing(t *testing.T) {
	d := newFleet(4)
	ejectFirst(d, 4)
	must.Eq(t, Ejected, d.State(0, testStart.Add(baseEjectionTime-1)))
	now := testStart.Add(baseEjectionTime)
	must.Eq(t, Probing, d.State(0, now))
	d.Started(0, now)
	must.Eq(t, Ejected, d.State(0, now))
	must.Eq(t, Probing, d.State(0, now.Add(probeTimeout)))
	d.Inconclusive(0)
	must.Eq(t, Probing, d.State(0, now))

	d.Started(0, now)
	d.Result(0, testClass, true, now)
	must.Eq(t, Ejected, d.State(0, now.Add(2*baseEjectionTime-1)))
	now = now.Add(2 * baseEjectionTime)
	for range probesToRestore {
		must.Eq(t, Probing, d.State(0, now))
		d.Started(0, now)
		d.Result(0, testClass, false, now)
	}
	must.Eq(t, Healthy, d.State(0, now))
	must.Eq(t, 0, d.Ejected())
	d.Result(0, testClass, true, now)
	must.Eq(t, Healthy, d.State(0, now), must.Sprint("failures from before the ejection must not count"))
}

// TestResultsOfEarlierTasksAreNotProbes ends tasks that were sent before the
// ejection after the ejection time. The target may be probed only after the
// last of them, and their results must not count as results of probes.
func TestResultsOfEarlierTasksAreNotProbes(t *testing.T) {
	d := newFleet(4)
	const earlierTasks = 2 * probesToRestore
	for range earlierTasks + severeMinResults {
		d.Started(0, testStart)
	}
	ejectFirst(d, 4)
	now := testStart.Add(baseEjectionTime)
	for i := range earlierTasks {
		must.Eq(t, Ejected, d.State(0, now))
		d.Result(0, testClass, i == 0, now)
	}
	must.Eq(t, Probing, d.State(0, now))
	must.Eq(t, 1, d.targets[0].backoffLevel)
}

// TestHungTasksDelayProbesOnlyUntilTimeout checks that tasks that never end are
// ignored after probeTimeout and do not delay the probes that follow.
func TestHungTasksDelayProbesOnlyUntilTimeout(t *testing.T) {
	d := newFleet(4)
	for range severeMinResults + 2 {
		d.Started(0, testStart)
	}
	ejectFirst(d, 4)
	must.Eq(t, Ejected, d.State(0, testStart.Add(probeTimeout-1)))
	now := testStart.Add(probeTimeout)
	for range probesToRestore {
		must.Eq(t, Probing, d.State(0, now))
		d.Started(0, now)
		d.Result(0, testClass, false, now)
	}
	must.Eq(t, Healthy, d.State(0, now))
}

func TestEjectionTimeIsBounded(t *testing.T) {
	must.Eq(t, baseEjectionTime, (&target{}).ejectionTime())
	must.Eq(t, 4*baseEjectionTime, (&target{backoffLevel: 2}).ejectionTime())
	must.Eq(t, maxEjectionTime, (&target{backoffLevel: 1000}).ejectionTime())
}

// TestEjectedShareIsBounded checks, over random results, that the number of
// ejected targets never exceeds the limit and that the totals equal the sums
// over the windows.
func TestEjectedShareIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 20).Draw(t, "size")
		d := newFleet(size)
		now := testStart
		for range rapid.IntRange(0, 400).Draw(t, "results") {
			id := rapid.IntRange(0, size-1).Draw(t, "id")
			failed := id < size/2+1
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if d.State(id, now) == Ejected {
				continue
			}
			d.Started(id, now)
			d.Result(id, testClass, failed, now)
			if d.Ejected() > max(1, size*DefaultMaxEjectionPercent/100) || (size == 1 && d.Ejected() > 0) {
				t.Fatalf("%d of %d targets ejected", d.Ejected(), size)
			}
		}
		results, failures, ejected := 0, 0, 0
		for _, target := range d.targets {
			results += target.window.size
			failures += target.window.failed()
			if target.ejected {
				ejected++
			}
		}
		if results != d.results || failures != d.failures || ejected != d.ejected {
			t.Fatalf("totals of results/failures/ejected %d/%d/%d, sums over targets %d/%d/%d", d.results, d.failures, d.ejected, results, failures, ejected)
		}
	})
}
