package trace

// SizeBand is a range of job sizes.
type SizeBand struct {
	// Weight is the share of jobs in the band, relative to the others.
	Weight float64
	// Min and Max bound the number of tasks, both included.
	Min int
	Max int
}
