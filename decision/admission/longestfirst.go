package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/figring/figring/model"
)

// LongestFirst returns the task indexes sorted by declared run time, longest
// first. A task without one counts as the mean of the declared run times. A job
// ends with its last task, so a long task that starts last delays the job the
// most. This is the longest-processing-time rule (Graham, "Bounds on
// Multiprocessing Timing Anomalies", 1969).
func LongestFirst(tasks []model.TaskSpec, indexes []int) []int {
	mean := meanDeclared(tasks)
	ordered := slices.Clone(indexes)
	slices.SortStableFunc(ordered, func(a, b int) int {
		return cmp.Compare(declaredOr(&tasks[b], mean), declaredOr(&tasks[a], mean))
	})
	return ordered
}

func declaredOr(task *model.TaskSpec, mean time.Duration) time.Duration {
	if task.DeclaredRun > 0 {
		return task.DeclaredRun
	}
	return mean
}

// meanDeclared returns the mean of the declared run times, or zero if no task
// declares one.
func meanDeclared(tasks []model.TaskSpec) time.Duration {
	sum, count := 0.0, 0
	for i := range tasks {
		if tasks[i].DeclaredRun > 0 {
			sum += tasks[i].DeclaredRun.Seconds()
			count++
		}
	}
	return secondsToDuration(sum / float64(max(1, count)))
}
