package measure

import (
	"slices"
	"time"

	"github.com/figring/figring/loadgen/ideal"
)

const (
	p99 = 99
	p50 = 50
)

// ratios compares response times with the ideal's.
type ratios struct {
	// Mean is the ratio of the means, P99 that of the 99th percentiles.
	Mean float64
	P99  float64
	// JobMean, JobP50 and JobP99 are of the ratios of the single jobs.
	JobMean float64
	JobP50  float64
	JobP99  float64
	// MeasuredMs and IdealMs are the mean response times.
	MeasuredMs float64
	IdealMs    float64
	Jobs       int
}

// compare compares the complete jobs with the ideal schedule of the whole
// trace. Cancelled, refused and failed jobs are left out on both sides.
func (p *played) compare() ratios {
	ends := ideal.Schedule(p.trace.Jobs, p.settings.Capacity())
	var measured, best, each []float64
	for i := range p.result.Outcomes {
		outcome := &p.result.Outcomes[i]
		if !outcome.Complete() || p.trace.Jobs[i].CancelAfter > 0 {
			continue
		}
		response := outcome.Response().Seconds()
		wanted := (ends[i] - p.trace.Jobs[i].At).Seconds()
		measured = append(measured, response)
		best = append(best, wanted)
		each = append(each, response/wanted)
	}
	if len(each) == 0 {
		return ratios{}
	}
	return ratios{
		Mean:       mean(measured) / mean(best),
		P99:        percentile(measured, p99) / percentile(best, p99),
		JobMean:    mean(each),
		JobP50:     percentile(each, p50),
		JobP99:     percentile(each, p99),
		MeasuredMs: mean(measured) * float64(time.Second/time.Millisecond),
		IdealMs:    mean(best) * float64(time.Second/time.Millisecond),
		Jobs:       len(each),
	}
}

func mean(values []float64) float64 {
	var sum float64
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// percentile returns the smallest value that the given share of the values
// does not exceed.
func percentile(values []float64, percent int) float64 {
	sorted := slices.Sorted(slices.Values(values))
	index := (len(sorted)*percent + 99) / 100
	return sorted[max(0, index-1)]
}
