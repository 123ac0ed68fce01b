package runner

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// The range of histograms, in microseconds, and their precision, in significant
// digits.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// Histogram is an HDR histogram of durations, in microseconds.
type Histogram struct {
	recorded *hdr.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{recorded: hdr.New(lowestMicros, highestMicros, digits)}
}

// Record adds a duration, clamped to the range of the histogram.
func (h *Histogram) Record(d time.Duration) {
	micros := min(max(d.Microseconds(), lowestMicros), highestMicros)
	_ = h.recorded.RecordValue(micros)
}

// Count returns the number of recorded durations.
func (h *Histogram) Count() int64 { return h.recorded.TotalCount() }

// Mean returns the mean duration.
func (h *Histogram) Mean() time.Duration {
	return time.Duration(h.recorded.Mean() * float64(time.Microsecond))
}

// Quantile returns the duration that the given percentage of durations does not
// exceed.
func (h *Histogram) Quantile(percent float64) time.Duration {
	return time.Duration(h.recorded.ValueAtQuantile(percent)) * time.Microsecond
}

// Max returns the largest duration.
func (h *Histogram) Max() time.Duration {
	return time.Duration(h.recorded.Max()) * time.Microsecond
}

// Summary returns the count, mean, percentiles and maximum.
func (h *Histogram) Summary() Summary {
	return Summary{
		Count:  h.Count(),
		MeanMs: millis(h.Mean()),
		P50Ms:  millis(h.Quantile(50)),
		P90Ms:  millis(h.Quantile(90)),
		P99Ms:  millis(h.Quantile(99)),
		MaxMs:  millis(h.Max()),
	}
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// Merge adds the durations recorded in other.
func (h *Histogram) Merge(other *Histogram) { h.recorded.Merge(other.recorded) }
