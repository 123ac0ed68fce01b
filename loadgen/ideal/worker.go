package ideal

import "time"

// Worker describes a worker to the scheduler.
type Worker struct {
	Slots int
	// Speed divides the run time of every task.
	Speed float64
	// No task starts on the worker from OutFrom until OutUntil; running tasks
	// continue.
	OutFrom  time.Duration
	OutUntil time.Duration
}

// Capacity returns the seconds of run time, as measured at speed 1, that all
// slots together complete per second.
func Capacity(workers []Worker) float64 {
	var sum float64
	for _, worker := range workers {
		sum += float64(worker.Slots) * worker.Speed
	}
	return sum
}
