package admission

// Capacity is what the router says about the targets.
type Capacity struct {
	// Targets counts the targets that may get work now.
	Targets int
	// Free counts the slots without a task.
	Free int
	// LargestMemoryBytes is the memory of the largest target; zero if unknown.
	LargestMemoryBytes int64
	// TasksPerSecond is the rate at which the targets can end tasks; zero if
	// unknown. It is used until the queue has measured its own rate.
	TasksPerSecond float64
}
