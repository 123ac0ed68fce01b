package routing

// Capacity is the total capacity of the targets that may get work.
type Capacity struct {
	// Targets is the number of these targets.
	Targets int
	// Slots is the number of their slots.
	Slots int
	// InFlight is the estimated number of tasks that run or queue there.
	InFlight int
	// Headroom is the number of tasks, including those that would queue, that may
	// be sent there in addition to the ones in flight.
	Headroom int
	// FreeSlots is the number of slots without a task. It can exceed Slots minus
	// InFlight, because tasks may queue at one target while another has free
	// slots.
	FreeSlots int
	// LargestMemoryBytes is the largest memory of any known target, including
	// those that may not get work. It is zero if no target is known or if one
	// of them does not report its memory.
	LargestMemoryBytes int64
	// TasksPerSecond is the expected rate of completions for the recent mix of
	// tasks; zero if no run time has been measured.
	TasksPerSecond float64
}
