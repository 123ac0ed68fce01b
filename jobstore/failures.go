package jobstore

import "github.com/figring/figring/work"

// Failures counts the failures of each task. The set at index n holds the tasks
// that have failed more than n times. This encoding is compact enough for a step
// with many tasks to fit into a row.
type Failures []TaskSet

// Set records that a task has failed count times. A count can't be lowered.
func (f *Failures) Set(step, index, count int) {
	for len(*f) < count {
		*f = append(*f, nil)
	}
	for level := range count {
		(*f)[level].Add(step, index)
	}
}

// Count returns the number of times that a task has failed.
func (f Failures) Count(step, index int) int {
	count := 0
	for count < len(f) && f[count].Has(step, index) {
		count++
	}
	return count
}

// ByTask returns the failure counts of the job's tasks, without tasks that have
// not failed.
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
