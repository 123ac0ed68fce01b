package trace

// SizeBand is a range of job sizes, in tasks.
type SizeBand struct {
	// Weight is the relative share of jobs in the band.
	Weight float64
	// Min and Max bound the number of tasks, inclusive.
	Min int
	Max int
}
