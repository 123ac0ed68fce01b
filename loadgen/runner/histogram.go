package runner

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// The range and precision of histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// Histogram is an HDR histogram of durations, in microseconds.
type Histogram struct {
	held *hdr.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{held: hdr.New(lowestMicros, highestMicros, digits)}
}

// Record adds a duration. One beyond the range counts as its end.
func (h *Histogram) Record(d time.Duration) {
	micros := min(max(d.Microseconds(), lowestMicros), highestMicros)
	_ = h.held.RecordValue(micros)
}

// Count returns the number of recorded durations.
func (h *Histogram) Count() int64 { return h.held.TotalCount() }

// Mean returns the mean.
func (h *Histogram) Mean() time.Duration {
	return time.Duration(h.held.Mean() * float64(time.Microsecond))
}

// Quantile returns the duration that the given percentage does not exceed.
func (h *Histogram) Quantile(percent float64) time.Duration {
	return time.Duration(h.held.ValueAtQuantile(percent)) * time.Microsecond
}

// Max returns the largest duration.
func (h *Histogram) Max() time.Duration {
	return time.Duration(h.held.Max()) * time.Microsecond
}

// Summary sums the histogram up.
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

// Merge adds what other holds.
func (h *Histogram) Merge(other *Histogram) { h.held.Merge(other.held) }
