package trace

// Class is one kind of task of a shape.
type Class struct {
	Name string
	// Weight is the share of jobs of this class, relative to the others.
	Weight float64
	// Idempotent says that running a task again does no harm.
	Idempotent bool
}
