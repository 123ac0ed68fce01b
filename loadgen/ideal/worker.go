package ideal

import "time"

// Worker is one worker as the scheduler knows it.
type Worker struct {
	Slots int
	// Speed divides the run time of every task.
	Speed float64
	// From OutFrom until OutUntil nothing starts at the worker; what runs goes on.
	OutFrom  time.Duration
	OutUntil time.Duration
}

// Capacity returns the run time that all slots together get done in a second,
// in seconds.
func Capacity(workers []Worker) float64 {
	var sum float64
	for _, worker := range workers {
		sum += float64(worker.Slots) * worker.Speed
	}
	return sum
}
