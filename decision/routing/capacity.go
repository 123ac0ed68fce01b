package routing

// Capacity sums up the targets that may get work.
type Capacity struct {
	// Targets counts the targets that may get work.
	Targets int
	// Slots and Busy sum up their slots and the tasks known to be there.
	Slots    int
	InFlight int
	// Headroom is the number of tasks that may be sent to them beyond Busy.
	Headroom int
	// FreeSlots counts the slots without a task. Tasks queue at one target while
	// another has free slots, so it is more than Slots less Busy.
	FreeSlots int
	// LargestMemoryBytes is the memory of the largest known target, open or
	// not; zero while none is known or one of them does not tell.
	LargestMemoryBytes int64
	// TasksPerSecond is the rate at which the targets are expected to end
	// tasks of the mix seen lately; zero while it is not known.
	TasksPerSecond float64
}
