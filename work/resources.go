package work

// Resources is an amount of CPU, memory and GPUs: a minion's capacity, or a part of it.
type Resources struct {
	// MilliCPU is an amount of CPU in thousandths of a core.
	MilliCPU int64
	// MemMB is an amount of memory in MiB.
	MemMB int64
	// GPUs is the number of accelerators.
	GPUs int64
}

// Add returns r plus other, field by field.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemMB + other.MemMB, r.GPUs + other.GPUs}
}

// Sub returns r minus other, field by field. Fields of the result may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemMB - other.MemMB, r.GPUs - other.GPUs}
}

// Times returns r count times, field by field.
func (r Resources) Times(count int64) Resources {
	return Resources{r.MilliCPU * count, r.MemMB * count, r.GPUs * count}
}

// Fits reports whether r is sufficient for need.
func (r Resources) Fits(need Resources) bool {
	return need.MilliCPU <= r.MilliCPU && need.MemMB <= r.MemMB && need.GPUs <= r.GPUs
}
