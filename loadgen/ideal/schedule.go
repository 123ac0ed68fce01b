package ideal

import (
	"cmp"
	"slices"
	"time"

	"github.com/figring/figring/loadgen/trace"
)

// slot is one execution slot of a worker.
type slot struct {
	workerIndex int
	worker      Worker
	freeAt      time.Duration
}

// Schedule returns the ideal completion time of each job, relative to the start
// of the run. A cancelled job ends no later than its cancellation.
func Schedule(jobs []trace.Job, workers []Worker) []time.Duration {
	ends := make([]time.Duration, len(jobs))
	for i := range jobs {
		ends[i] = jobs[i].At
	}
	for _, placed := range Place(jobs, workers) {
		ends[placed.Job] = max(ends[placed.Job], placed.End)
	}
	for i := range jobs {
		if jobs[i].CancelAfter > 0 {
			ends[i] = min(ends[i], jobs[i].At+jobs[i].CancelAfter)
		}
	}
	return ends
}

// Place returns the worker, start and end of each task. A task that is
// cancelled before its start occupies no slot time.
func Place(jobs []trace.Job, workers []Worker) []Placement {
	slots := expandSlots(workers)
	var placed []Placement
	for i := range jobs {
		placed = append(placed, place(i, &jobs[i], slots)...)
	}
	return placed
}

func expandSlots(workers []Worker) []slot {
	var slots []slot
	for number, worker := range workers {
		for range worker.Slots {
			slots = append(slots, slot{workerIndex: number, worker: worker})
		}
	}
	return slots
}

// place assigns the tasks of one job to slots.
func place(index int, job *trace.Job, slots []slot) []Placement {
	tasks := slices.Clone(job.Tasks)
	slices.SortStableFunc(tasks, func(a, b trace.Task) int { return cmp.Compare(b.Run, a.Run) })
	var placed []Placement
	for _, task := range tasks {
		chosen, start, end := earliestEnd(slots, job.At, task.Run)
		if job.CancelAfter > 0 {
			end = min(end, max(start, job.At+job.CancelAfter))
		}
		if end > start {
			chosen.freeAt = end
		}
		placed = append(placed, Placement{Job: index, Worker: chosen.workerIndex, Start: start, End: end})
	}
	return placed
}

// earliestEnd returns the slot in which a task ends first, with the start and end
// of the task.
func earliestEnd(slots []slot, now, run time.Duration) (best *slot, bestStart, bestEnd time.Duration) {
	for i := range slots {
		start := slots[i].start(now)
		end := start + time.Duration(float64(run)/slots[i].worker.Speed)
		if best == nil || end < bestEnd {
			best, bestStart, bestEnd = &slots[i], start, end
		}
	}
	return best, bestStart, bestEnd
}

// start returns the earliest time at which the slot can start a task that
// arrives at now.
func (s *slot) start(now time.Duration) time.Duration {
	start := max(s.freeAt, now)
	if start >= s.worker.OutFrom && start < s.worker.OutUntil {
		return s.worker.OutUntil
	}
	return start
}
