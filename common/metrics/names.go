package metrics

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Prefix starts the name of every metric.
const Prefix = "figring"

// The tags of metrics.
const (
	TagClass  = "class"
	TagReason = "reason"
	TagStatus = "status"
)

// The metrics of a sidecar.
const (
	// SidecarRunning gauges the tasks that run.
	SidecarRunning = "sidecar_running"
	// SidecarQueued gauges the tasks that wait for a slot.
	SidecarQueued = "sidecar_queued"
	// SidecarRecords gauges the records of started tasks.
	SidecarRecords = "sidecar_records"
	// SidecarEntries gauges the entries that permits are renewed at.
	SidecarEntries = "sidecar_entries"
	// SidecarStarts counts tasks handed to the minion.
	SidecarStarts = "sidecar_starts"
	// SidecarEnds counts ended calls by status.
	SidecarEnds = "sidecar_ends"
	// SidecarHandedBack counts tasks that were not started, by reason.
	SidecarHandedBack = "sidecar_handed_back"
	// SidecarRenewals counts renewals that were answered.
	SidecarRenewals = "sidecar_renewals"
	// SidecarRenewalFailures counts renewals that were not answered.
	SidecarRenewalFailures = "sidecar_renewal_failures"
	// SidecarRunTime is the histogram of run times at the minion by class.
	SidecarRunTime = "sidecar_run_time"
	// SidecarQueueWait is the histogram of waits for a slot by class.
	SidecarQueueWait = "sidecar_queue_wait"
)

// The bounds of the buckets of durations: from bucketStart, each twice the
// one before.
const (
	bucketStart = 500 * time.Microsecond
	bucketCount = 17
)

// DurationBuckets returns the buckets of every histogram of durations.
func DurationBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(bucketStart, 2, bucketCount)
}
