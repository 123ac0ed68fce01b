package trace

import "time"

// Config configures the generation of a trace.
type Config struct {
	Shape Shape
	Seed  uint64
	// Duration is the time over which jobs arrive.
	Duration time.Duration
	// Capacity is the seconds of run time that all slots together complete per
	// second: the sum of slots times speed over the workers.
	Capacity float64
	// Load is the fraction of Capacity that the trace uses.
	Load float64
	// Jobs, if not zero, fixes the number of jobs; Capacity and Load are then
	// ignored.
	Jobs int
	// Bursts is the number of bursts. During a burst, which lasts BurstShare of
	// Duration, jobs arrive at BurstFactor times the base rate.
	Bursts      int
	BurstFactor float64
	BurstShare  float64
	// ResubmitShare is the fraction of jobs that are submitted a second time.
	ResubmitShare float64
	// CancelWaves is the number of cancellation waves. A wave cancels each job
	// that arrived within the preceding cancelWindow with probability
	// CancelShare.
	CancelWaves int
	CancelShare float64
}

// DefaultConfig returns a configuration with a typical number of bursts,
// resubmissions and cancellations.
func DefaultConfig(shape Shape, seed uint64, duration time.Duration, capacity, load float64) Config {
	return Config{
		Shape:         shape,
		Seed:          seed,
		Duration:      duration,
		Capacity:      capacity,
		Load:          load,
		Bursts:        2,
		BurstFactor:   1.5,
		BurstShare:    0.05,
		ResubmitShare: 0.02,
		CancelWaves:   2,
		CancelShare:   0.2,
	}
}
