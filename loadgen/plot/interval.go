package plot

import "time"

// Interval is the time span in which one task ran, relative to the start of the
// run.
type Interval struct {
	Start time.Duration
	End   time.Duration
}

// Overlap returns how much of the time span lies between from and until.
func (i *Interval) Overlap(from, until time.Duration) time.Duration {
	return max(0, min(i.End, until)-max(i.Start, from))
}

// BusySlots returns the mean number of running tasks in each step.
func BusySlots(intervals []Interval, step time.Duration) []float64 {
	var last time.Duration
	for _, one := range intervals {
		last = max(last, one.End)
	}
	curve := make([]float64, last/step+1)
	for _, one := range intervals {
		for i := max(0, one.Start) / step; i <= max(0, one.End)/step; i++ {
			curve[i] += one.Overlap(i*step, (i+1)*step).Seconds() / step.Seconds()
		}
	}
	return curve
}
