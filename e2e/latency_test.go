package e2e

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// BenchmarkOneTaskJob reports the median response of a job of one task of 50 ms
// in an idle system, whose store takes 5 ms for a write.
func BenchmarkOneTaskJob(b *testing.B) {
	c := newCluster(b, layout{entries: 3, minions: 3, platformArgs: []string{"--write-latency", "5ms"}})
	one := c.client(-1)
	var times []time.Duration
	for b.Loop() {
		job := newJob(1, 50)
		begun := time.Now()
		_, err := one.SubmitOnce(b.Context(), job)
		must.NoError(b, err)
		times = append(times, time.Since(begun))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "median-ms")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99-ms")
}
