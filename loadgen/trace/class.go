package trace

// Class is a class of tasks in a workload shape.
type Class struct {
	Name string
	// Weight is the relative share of jobs of this class.
	Weight float64
	// Idempotent reports whether a task can safely run more than once.
	Idempotent bool
}
