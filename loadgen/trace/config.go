package trace

import "time"

// Config says what to generate.
type Config struct {
	Shape Shape
	Seed  uint64
	// Duration is the time over which jobs arrive.
	Duration time.Duration
	// Capacity is the run time that all slots together get done in a second, in
	// seconds: the sum of slots times speed.
	Capacity float64
	// Load is the share of Capacity that the work of the trace takes up.
	Load float64
	// Jobs, when it is not zero, is the number of jobs whatever their work is;
	// Capacity and Load then count for nothing.
	Jobs int
	// Bursts is the number of times at which the arrivals come BurstFactor
	// times as fast as usual, each for BurstShare of the duration.
	Bursts      int
	BurstFactor float64
	BurstShare  float64
	// ResubmitShare is the share of jobs that are submitted a second time.
	ResubmitShare float64
	// CancelWaves is the number of times at which CancelShare of the jobs that
	// arrived in the last CancelWindow are cancelled.
	CancelWaves int
	CancelShare float64
}

// Usual returns a configuration with the bursts, resubmissions and
// cancellations of a usual day.
func Usual(shape Shape, seed uint64, duration time.Duration, capacity, load float64) Config {
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
