package work

// Resources is an amount of a minion's capacity.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64
	// MemMB is in MiB.
	MemMB int64
	// GPUs is a count of accelerators.
	GPUs int64
}

// Add returns the sum of both.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemMB + other.MemMB, r.GPUs + other.GPUs}
}

// Sub returns what is left of r without other; a part of it may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemMB - other.MemMB, r.GPUs - other.GPUs}
}

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.MilliCPU <= r.MilliCPU && need.MemMB <= r.MemMB && need.GPUs <= r.GPUs
}
