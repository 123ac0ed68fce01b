package jobstore

import "github.com/figring/figring/work"

// TaskCounts counts something for each task, such as its failures. The set at index n
// holds the tasks with a count above n. This encoding is compact enough for a step with
// many tasks to fit into a row.
type TaskCounts []TaskSet

// Set sets the count of a task. A count can't be lowered.
func (c *TaskCounts) Set(step, index, count int) {
	for len(*c) < count {
		*c = append(*c, nil)
	}
	for level := range count {
		(*c)[level].Add(step, index)
	}
}

// Count returns the count of a task.
func (c TaskCounts) Count(step, index int) int {
	count := 0
	for count < len(c) && c[count].Has(step, index) {
		count++
	}
	return count
}

// ByTask returns the counts of the job's tasks, without those that are 0.
func (c TaskCounts) ByTask(job *work.Job) map[work.TaskKey]int {
	counts := make(map[work.TaskKey]int)
	if len(c) == 0 {
		return counts
	}
	for step := range job.Steps {
		for index := range job.Steps[step].Count {
			if count := c.Count(step, index); count > 0 {
				counts[work.TaskKey{Job: job.ID, Step: step, Index: index}] = count
			}
		}
	}
	return counts
}
