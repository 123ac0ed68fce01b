package ejection

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_800_000_000, 0)

const testClass = "eligibility"

func fleet(size int) *Detector[int, string] {
	d := New[int, string](0)
	for id := range size {
		d.Add(id)
	}
	return d
}

// succeed gives each target but the first some successes.
func succeed(d *Detector[int, string], size int) {
	for range 3 {
		for id := 1; id < size; id++ {
			d.Result(id, testClass, false, testStart)
		}
	}
}

func TestFailsEveryTaskIsEjectedAfterThree(t *testing.T) {
	d := fleet(11)
	succeed(d, 11)
	for range quickSamples - 1 {
		d.Result(0, testClass, true, testStart)
	}
	must.Eq(t, Healthy, d.State(0, testStart))
	d.Result(0, testClass, true, testStart)
	must.Eq(t, Ejected, d.State(0, testStart))
}

func TestHalfFailingIsEjectedLater(t *testing.T) {
	d := fleet(11)
	succeed(d, 11)
	for i := range steadySamples {
		must.Eq(t, Healthy, d.State(0, testStart), must.Sprintf("result %d", i))
		d.Result(0, testClass, i%2 == 1, testStart)
	}
	must.Eq(t, Ejected, d.State(0, testStart))
}

func TestPoisonEjectsNobody(t *testing.T) {
	cases := []struct {
		name  string
		class string
	}{
		{"class that succeeds nowhere", "poison"},
		{"class that otherwise succeeds", testClass},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := fleet(11)
			succeed(d, 11)
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

func TestFailureOfClassOnlySeenHereIsNotAttributed(t *testing.T) {
	d := fleet(11)
	succeed(d, 11)
	for range 40 {
		d.Result(0, "only here", true, testStart)
	}
	must.Eq(t, Healthy, d.State(0, testStart))
	d.Result(1, "only here", false, testStart)
	d.Result(0, "only here", true, testStart)
	must.Eq(t, Ejected, d.State(0, testStart))
}

func ejectFirst(d *Detector[int, string], size int) {
	succeed(d, size)
	for range quickSamples {
		d.Result(0, testClass, true, testStart)
	}
}

func TestProbation(t *testing.T) {
	d := fleet(4)
	ejectFirst(d, 4)
	must.Eq(t, Ejected, d.State(0, testStart.Add(firstEjection-1)))
	now := testStart.Add(firstEjection)
	must.Eq(t, Probing, d.State(0, now))
	d.Started(0, now)
	must.Eq(t, Ejected, d.State(0, now))
	must.Eq(t, Probing, d.State(0, now.Add(probeTimeout)))
	d.Inconclusive(0)
	must.Eq(t, Probing, d.State(0, now))

	d.Started(0, now)
	d.Result(0, testClass, true, now)
	must.Eq(t, Ejected, d.State(0, now.Add(2*firstEjection-1)))
	now = now.Add(2 * firstEjection)
	for range probesToRestore {
		must.Eq(t, Probing, d.State(0, now))
		d.Started(0, now)
		d.Result(0, testClass, false, now)
	}
	must.Eq(t, Healthy, d.State(0, now))
	must.Eq(t, 0, d.Ejected())
	d.Result(0, testClass, true, now)
	must.Eq(t, Healthy, d.State(0, now), must.Sprint("failures before the ejection still count"))
}

// TestLateResultsAreNoProbes lets tasks that were sent before the ejection end
// after its time: the target is probed only after the last of them, and their
// ends count neither for nor against it.
func TestLateResultsAreNoProbes(t *testing.T) {
	d := fleet(4)
	const late = 2 * probesToRestore
	for range late + quickSamples {
		d.Started(0, testStart)
	}
	ejectFirst(d, 4)
	now := testStart.Add(firstEjection)
	for i := range late {
		must.Eq(t, Ejected, d.State(0, now))
		d.Result(0, testClass, i == 0, now)
	}
	must.Eq(t, Probing, d.State(0, now))
	must.Eq(t, 1, d.targets[0].level)
}

// TestHungTasksDelayProbesOnce checks that tasks that never end are given up
// after the timeout and do not delay the probes that follow.
func TestHungTasksDelayProbesOnce(t *testing.T) {
	d := fleet(4)
	for range quickSamples + 2 {
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
	must.Eq(t, firstEjection, (&target{}).ejectionTime())
	must.Eq(t, 4*firstEjection, (&target{level: 2}).ejectionTime())
	must.Eq(t, maxEjection, (&target{level: 1000}).ejectionTime())
}

// TestShareIsBounded checks, over random results, that the ejected never exceed
// the share and that the totals stay those of the windows.
func TestShareIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 20).Draw(t, "size")
		d := fleet(size)
		now := testStart
		for range rapid.IntRange(0, 400).Draw(t, "results") {
			id := rapid.IntRange(0, size-1).Draw(t, "id")
			bad := id < size/2+1
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if d.State(id, now) == Ejected {
				continue
			}
			d.Started(id, now)
			d.Result(id, testClass, bad, now)
			if d.Ejected() > max(1, size*DefaultMaxEjectionPercent/100) || (size == 1 && d.Ejected() > 0) {
				t.Fatalf("%d of %d ejected", d.Ejected(), size)
			}
		}
		samples, failures, ejected := 0, 0, 0
		for _, one := range d.targets {
			samples += one.window.size
			failures += one.window.failed()
			if one.ejected {
				ejected++
			}
		}
		if samples != d.samples || failures != d.failures || ejected != d.ejected {
			t.Fatalf("totals %d/%d/%d, sums %d/%d/%d", d.samples, d.failures, d.ejected, samples, failures, ejected)
		}
	})
}
