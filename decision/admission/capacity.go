package admission

// Capacity is the total capacity of the targets as reported by the router.
type Capacity struct {
	// Targets is the number of targets that accept work now.
	Targets int
	// Free is the number of slots without a task.
	Free int
	// LargestMemoryBytes is the memory of the largest target; zero if unknown.
	LargestMemoryBytes int64
	// TasksPerSecond is the rate at which the targets can complete tasks; zero if
	// unknown. It is used while the queue has no recent measurement of its own.
	TasksPerSecond float64
}
