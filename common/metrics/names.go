package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Prefix is the prefix of every metric name.
const Prefix = "figring"

// The tags of metrics.
const (
	TagClass  = "class"
	TagReason = "reason"
	TagStatus = "status"
)

// The metrics of a sidecar.
const (
	// SidecarRunning is a gauge of the running tasks.
	SidecarRunning = "sidecar_running"
	// SidecarQueued is a gauge of the tasks that wait for a slot.
	SidecarQueued = "sidecar_queued"
	// SidecarRecords is a gauge of the records of started tasks.
	SidecarRecords = "sidecar_records"
	// SidecarEntries is a gauge of the entries at which permits are renewed.
	SidecarEntries = "sidecar_entries"
	// SidecarStarts counts tasks sent to the minion.
	SidecarStarts = "sidecar_starts"
	// SidecarEnds counts finished calls to the minion by status.
	SidecarEnds = "sidecar_ends"
	// SidecarHandedBack counts tasks returned to the entry without a start, by reason.
	SidecarHandedBack = "sidecar_handed_back"
	// SidecarRenewals counts permit renewals that an entry answered.
	SidecarRenewals = "sidecar_renewals"
	// SidecarRenewalFailures counts permit renewals without an answer.
	SidecarRenewalFailures = "sidecar_renewal_failures"
	// SidecarRunTime is a histogram of run times at the minion by class.
	SidecarRunTime = "sidecar_run_time"
	// SidecarQueueWait is a histogram of the time waiting for a slot by class.
	SidecarQueueWait = "sidecar_queue_wait"
)

// The upper bounds of the duration buckets start at bucketStart, and each bound is
// twice the previous one.
const (
	bucketStart = 500 * time.Microsecond
	bucketCount = 17
)

// DurationBuckets returns the buckets that all duration histograms use.
func DurationBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(bucketStart, 2, bucketCount)
}
