package trace

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const testCapacity = 88.0

func testConfig(shape Shape, seed uint64) Config {
	return DefaultConfig(shape, seed, time.Minute, testCapacity, 0.7)
}

func TestSameSeedSameTrace(t *testing.T) {
	for name, shape := range Shapes() {
		t.Run(name, func(t *testing.T) {
			first := Generate(testConfig(shape, 7))
			must.True(t, reflect.DeepEqual(first, Generate(testConfig(shape, 7))))
			must.False(t, reflect.DeepEqual(first, Generate(testConfig(shape, 8))))
		})
	}
}

// TestLoadShare checks that the total run time exceeds the configured share of
// the capacity by no more than the largest job.
func TestLoadShare(t *testing.T) {
	for name, shape := range Shapes() {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				generated := Generate(testConfig(shape, seed))
				over := generated.Work().Seconds() - 0.7*testCapacity*60
				var largest time.Duration
				for i := range generated.Jobs {
					largest = max(largest, generated.Jobs[i].Work())
				}
				must.Between(t, 0, over, largest.Seconds())
			}
		})
	}
}

func TestJobsFitTheShape(t *testing.T) {
	for name, shape := range Shapes() {
		t.Run(name, func(t *testing.T) {
			generated := Generate(testConfig(shape, 3))
			must.True(t, slices.IsSortedFunc(generated.Jobs, func(a, b Job) int { return int(a.At - b.At) }))
			silent, long := 0, 0
			shortest, longest, mostOff := shape.MaxLong, time.Duration(0), 0.0
			for _, job := range generated.Jobs {
				must.Between(t, 0, job.At, time.Minute)
				must.Between(t, shape.Sizes[0].Min, len(job.Tasks), shape.Sizes[len(shape.Sizes)-1].Max)
				for _, task := range job.Tasks {
					shortest, longest = min(shortest, task.Run), max(longest, task.Run)
					mostOff = max(mostOff, float64(task.Declared)/float64(task.Run))
					if task.Declared == 0 {
						silent++
					}
					if task.Run > shape.MaxRun {
						long++
					}
				}
			}
			must.GreaterEq(t, shape.MinRun, shortest)
			must.LessEq(t, shape.MaxLong, longest)
			must.Between(t, 2, mostOff, 1.02*maxDeclaredFactor)
			tasks := float64(generated.Tasks())
			must.InDelta(t, shape.UndeclaredShare, float64(silent)/tasks, 0.02)
			must.InDelta(t, shape.LongShare, float64(long)/tasks, 0.01)
		})
	}
}

func TestBurstsConcentrateArrivals(t *testing.T) {
	config := testConfig(Nomination(), 5)
	config.Bursts, config.BurstFactor, config.BurstShare = 1, 5, 0.1
	most := 0
	arrivals := Generate(config).Jobs
	for _, first := range arrivals {
		within := 0
		for _, job := range arrivals {
			if job.At >= first.At && job.At < first.At+6*time.Second {
				within++
			}
		}
		most = max(most, within)
	}
	// A tenth of the time at five times the rate holds 5/14 of all arrivals.
	must.InDelta(t, 5.0/14, float64(most)/float64(len(arrivals)), 0.05)
}

func TestCancelWaves(t *testing.T) {
	config := testConfig(Subscription(), 5)
	config.CancelWaves, config.CancelShare = 1, 1
	for _, job := range Generate(config).Jobs {
		recent := job.At < 30*time.Second && job.At >= 30*time.Second-cancelWindow
		must.Eq(t, recent, job.CancelAfter > 0)
		if recent {
			must.Eq(t, 30*time.Second, job.At+job.CancelAfter)
		}
	}
}

func TestMergeKeepsTheOrder(t *testing.T) {
	one := Trace{Jobs: []Job{{At: 1}, {At: 4}}}
	other := Trace{Jobs: []Job{{At: 2}, {At: 3}}}
	must.Eq(t, []Job{{At: 1}, {At: 2}, {At: 3}, {At: 4}}, Merge(one, other).Jobs)
}
