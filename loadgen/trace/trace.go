package trace

import (
	"slices"
	"time"
)

// Trace is a list of jobs in order of arrival.
type Trace struct {
	Jobs []Job
}

// Work returns the sum of the true run times of all tasks.
func (t *Trace) Work() time.Duration {
	var sum time.Duration
	for i := range t.Jobs {
		sum += t.Jobs[i].Work()
	}
	return sum
}

// Tasks returns the total number of tasks.
func (t *Trace) Tasks() int {
	var sum int
	for i := range t.Jobs {
		sum += len(t.Jobs[i].Tasks)
	}
	return sum
}

// Merge returns the jobs of several traces in order of arrival.
func Merge(traces ...Trace) Trace {
	var merged Trace
	for _, one := range traces {
		merged.Jobs = append(merged.Jobs, one.Jobs...)
	}
	merged.sort()
	return merged
}

func (t *Trace) sort() {
	slices.SortStableFunc(t.Jobs, func(a, b Job) int { return int(a.At - b.At) })
}
