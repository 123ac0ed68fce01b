package fleet

import "github.com/figring/figring/common/metrics"

// The names of metrics on the pages.
const (
	MetricWireRead    = metrics.Prefix + "_" + metrics.WireReadBytes
	MetricWireWritten = metrics.Prefix + "_" + metrics.WireWrittenBytes
)

// MetricName returns the name on the pages of a metric of package metrics.
func MetricName(name string) string { return metrics.Prefix + "_" + name }
