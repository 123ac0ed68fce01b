package jobstore

import "github.com/figring/figring/work"

// Failures counts how often tasks have failed: the set with number n holds the
// tasks that have failed more than n times, so that a wide step fits into a row.
type Failures []TaskSet

// Set notes that a task has failed count times.
func (f *Failures) Set(step, index, count int) {
	for len(*f) < count {
		*f = append(*f, nil)
	}
	for level := range count {
		(*f)[level].Add(step, index)
	}
}

// Count returns how often a task has failed.
func (f Failures) Count(step, index int) int {
	count := 0
	for count < len(f) && f[count].Has(step, index) {
		count++
	}
	return count
}

// ByTask returns the counts of a job's tasks that have failed.
func (f Failures) ByTask(job *work.Job) map[work.TaskKey]int {
	counts := make(map[work.TaskKey]int)
	if len(f) == 0 {
		return counts
	}
	for step := range job.Steps {
		for index := range job.Steps[step].Count {
			if count := f.Count(step, index); count > 0 {
				counts[work.TaskKey{Job: job.ID, Step: step, Index: index}] = count
			}
		}
	}
	return counts
}
