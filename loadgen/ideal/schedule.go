package ideal

import (
	"cmp"
	"slices"
	"time"

	"github.com/figring/figring/loadgen/trace"
)

// slot is one place of a worker.
type slot struct {
	speed float64
	free  time.Duration
}

// Schedule returns the ideal end of each job of the trace, from the start of
// the run. A cancelled job ends at its cancellation at the latest.
func Schedule(jobs []trace.Job, workers []Worker) []time.Duration {
	slots := slotsOf(workers)
	ends := make([]time.Duration, len(jobs))
	for i := range jobs {
		ends[i] = place(&jobs[i], slots)
	}
	return ends
}

func slotsOf(workers []Worker) []slot {
	var slots []slot
	for _, worker := range workers {
		for range worker.Slots {
			slots = append(slots, slot{speed: worker.Speed})
		}
	}
	return slots
}

// place puts a job's tasks into slots and returns the end of the last one.
func place(job *trace.Job, slots []slot) time.Duration {
	tasks := slices.Clone(job.Tasks)
	slices.SortStableFunc(tasks, func(a, b trace.Task) int { return cmp.Compare(b.Run, a.Run) })
	last := job.At
	for _, task := range tasks {
		chosen, end := soonest(slots, job.At, task.Run)
		start := max(chosen.free, job.At)
		if job.CancelAfter > 0 {
			end = min(end, max(start, job.At+job.CancelAfter))
		}
		chosen.free = end
		last = max(last, end)
	}
	if job.CancelAfter > 0 {
		last = min(last, job.At+job.CancelAfter)
	}
	return last
}

// soonest returns the slot in which a task ends first, and that end.
func soonest(slots []slot, now, run time.Duration) (*slot, time.Duration) {
	var best *slot
	var bestEnd time.Duration
	for i := range slots {
		end := max(slots[i].free, now) + time.Duration(float64(run)/slots[i].speed)
		if best == nil || end < bestEnd {
			best, bestEnd = &slots[i], end
		}
	}
	return best, bestEnd
}
