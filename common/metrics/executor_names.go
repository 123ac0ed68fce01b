package metrics

// The metrics of a sidecar whose minion runs tasks under leases.
const (
	// ExecutorStarts counts starts sent to the minion by outcome.
	ExecutorStarts = "executor_starts"
	// ExecutorRefused counts orders of entries that were refused, by reason.
	ExecutorRefused = "executor_refused"
	// ExecutorEnds counts ended runs by how they ended.
	ExecutorEnds = "executor_ends"
	// ExecutorFreeMilliCPU gauges the room in thousandths of a core in which nothing runs.
	ExecutorFreeMilliCPU = "executor_free_millicpu"
	// ExecutorQueuedMilliCPU gauges what waits for room, in thousandths of a core.
	ExecutorQueuedMilliCPU = "executor_queued_millicpu"
	// ExecutorSessions gauges the entries with a session.
	ExecutorSessions = "executor_sessions"
	// ExecutorListsFailed counts looks at the minion without an answer.
	ExecutorListsFailed = "executor_looks_failed"
	// ExecutorAnnounceFailed counts announcements that no entry took.
	ExecutorAnnounceFailed = "executor_announce_failed"
	// ExecutorReports counts the minion's reports about itself.
	ExecutorReports = "executor_reports"
	// ExecutorOrderQueueFull counts calls that found no place in the callers' ring.
	ExecutorOrderQueueFull = "executor_ring_full"
)

// The metrics of an entry that holds jobs until they have ended.
const (
	// DispatcherJobs counts answered submissions by route and outcome.
	DispatcherJobs = "dispatcher_jobs"
	// DispatcherRefused counts refusals by reason.
	DispatcherRefused = "dispatcher_refused"
	// DispatcherResponse is the histogram of response times by route.
	DispatcherResponse = "dispatcher_response"
	// DispatcherOpen gauges the jobs without an answer.
	DispatcherOpen = "dispatcher_open"
	// DispatcherTargets gauges the sidecars that take orders.
	DispatcherTargets = "dispatcher_targets"
	// DispatcherTasksFreed counts tasks that had to be placed again, by reason.
	DispatcherTasksFreed = "dispatcher_freed"
	// DispatcherMalformed counts requests that could not be read.
	DispatcherMalformed = "dispatcher_malformed"
	// StoreReads counts reads of the platform's table by outcome.
	StoreReads = "store_reads"
	// ManifestVersion gauges the version of the manifest in force.
	ManifestVersion = "manifest_version"
	// ManifestAge gauges the seconds since the configuration in force was taken.
	ManifestAge = "manifest_age_seconds"
	// ExecutorEntryAge gauges the seconds since the newest sign of an entry.
	ExecutorEntryAge = "executor_entry_age_seconds"
	// StoreAge gauges the seconds since the last good read of the table.
	StoreAge = "store_age_seconds"

	// TagRoute is the name of a route.
	TagRoute = "route"
	TagEntry = "entry"
)
