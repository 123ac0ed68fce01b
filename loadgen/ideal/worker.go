package ideal

// Worker is one worker as the scheduler knows it.
type Worker struct {
	Slots int
	// Speed divides the run time of every task.
	Speed float64
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
