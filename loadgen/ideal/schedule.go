package ideal

import (
	"cmp"
	"slices"
	"time"

	"github.com/figring/figring/loadgen/trace"
)

// slot is one place of a worker.
type slot struct {
	number int
	worker Worker
	free   time.Duration
}

// Schedule returns the ideal end of each job of the trace, from the start of
// the run. A cancelled job ends at its cancellation at the latest.
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

// Place returns where and when each task runs. A task that is cancelled before
// its start takes no time.
func Place(jobs []trace.Job, workers []Worker) []Placement {
	slots := slotsOf(workers)
	var placed []Placement
	for i := range jobs {
		placed = append(placed, place(i, &jobs[i], slots)...)
	}
	return placed
}

func slotsOf(workers []Worker) []slot {
	var slots []slot
	for number, worker := range workers {
		for range worker.Slots {
			slots = append(slots, slot{number: number, worker: worker})
		}
	}
	return slots
}

// place puts a job's tasks into slots.
func place(index int, job *trace.Job, slots []slot) []Placement {
	tasks := slices.Clone(job.Tasks)
	slices.SortStableFunc(tasks, func(a, b trace.Task) int { return cmp.Compare(b.Run, a.Run) })
	var placed []Placement
	for _, task := range tasks {
		chosen, start, end := soonest(slots, job.At, task.Run)
		if job.CancelAfter > 0 {
			end = min(end, max(start, job.At+job.CancelAfter))
		}
		if end > start {
			chosen.free = end
		}
		placed = append(placed, Placement{Job: index, Worker: chosen.number, Start: start, End: end})
	}
	return placed
}

// soonest returns the slot in which a task ends first, with its start and end.
func soonest(slots []slot, now, run time.Duration) (best *slot, bestStart, bestEnd time.Duration) {
	for i := range slots {
		start := slots[i].start(now)
		end := start + time.Duration(float64(run)/slots[i].worker.Speed)
		if best == nil || end < bestEnd {
			best, bestStart, bestEnd = &slots[i], start, end
		}
	}
	return best, bestStart, bestEnd
}

// start returns the earliest start of a task that is known at now.
func (s *slot) start(now time.Duration) time.Duration {
	start := max(s.free, now)
	if start >= s.worker.OutFrom && start < s.worker.OutUntil {
		return s.worker.OutUntil
	}
	return start
}
