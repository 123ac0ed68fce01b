package metrics

// The metrics of a sidecar whose minion runs tasks under leases.
const (
	// ExecutorStarts counts start requests sent to the minion, by outcome.
	ExecutorStarts = "executor_starts"
	// ExecutorRefused counts refused start requests of entries, by reason.
	ExecutorRefused = "executor_refused"
	// ExecutorEnds counts ended runs by kind of end.
	ExecutorEnds = "executor_ends"
	// ExecutorFreeMilliCPU is a gauge of the free CPU capacity, in thousandths of a core.
	ExecutorFreeMilliCPU = "executor_free_millicpu"
	// ExecutorQueuedMilliCPU is a gauge of the CPU demand of queued tasks, in
	// thousandths of a core.
	ExecutorQueuedMilliCPU = "executor_queued_millicpu"
	// ExecutorSessions is a gauge of the entries with an open session.
	ExecutorSessions = "executor_sessions"
	// ExecutorListsFailed counts list requests that the minion did not answer.
	ExecutorListsFailed = "executor_looks_failed"
	// ExecutorAnnounceFailed counts announcements that no entry accepted.
	ExecutorAnnounceFailed = "executor_announce_failed"
	// ExecutorReports counts the minion's status reports.
	ExecutorReports = "executor_reports"
	// ExecutorMinionCrashes counts ends of the minion without notice while runs were in
	// progress.
	ExecutorMinionCrashes = "executor_minion_crashes"
	// ExecutorOrderQueueFull counts calls that found the queue for orders to the minion
	// full.
	ExecutorOrderQueueFull = "executor_ring_full"
)

// The metrics of an entry that holds jobs until they have ended.
const (
	// DispatcherJobs counts answered submissions by route and outcome.
	DispatcherJobs = "dispatcher_jobs"
	// DispatcherRefused counts refusals by reason.
	DispatcherRefused = "dispatcher_refused"
	// DispatcherResponse is a histogram of response times by route.
	DispatcherResponse = "dispatcher_response"
	// DispatcherOpen is a gauge of the unanswered jobs.
	DispatcherOpen = "dispatcher_open"
	// DispatcherJobBytes is a gauge of the memory in bytes that open jobs take.
	DispatcherJobBytes = "dispatcher_job_bytes"
	// DispatcherTargets is a gauge of the sidecars that accept tasks.
	DispatcherTargets = "dispatcher_targets"
	// DispatcherTasksFreed counts tasks that had to be reassigned, by reason.
	DispatcherTasksFreed = "dispatcher_freed"
	// DispatcherConfinements counts how often a route was confined to a few sidecars.
	DispatcherConfinements = "dispatcher_confinements"
	// DispatcherMinionsAvoided counts how often tasks began to avoid a minion for its failures.
	DispatcherMinionsAvoided = "dispatcher_minions_avoided"
	// DispatcherRunTimeRatio is a gauge of the ratio of measured to declared run time by
	// kind of minion and route.
	DispatcherRunTimeRatio = "dispatcher_run_time_ratio"
	// DispatcherPairs counts pairs of kinds of tasks that were found to slow each other
	// down, by status: "found" or "dropped".
	DispatcherPairs = "dispatcher_interfering_pairs"
	// DispatcherKeptApart counts tasks that were placed elsewhere because they would have
	// slowed others down or been slowed down.
	DispatcherKeptApart = "dispatcher_kept_apart"
	// DispatcherClassDemand is a gauge of the rate of work that all entries offer to the
	// capacity within this entry's reach, by service and class, and DispatcherClassGiven
	// of the part of it that the class gets, in thousandths of a core.
	DispatcherClassDemand = "dispatcher_class_demand_millicpu"
	DispatcherClassGiven  = "dispatcher_class_given_millicpu"
	// DispatcherClassOffered and DispatcherClassAdmitted count the work that callers
	// offered to this entry and that was admitted, in thousandths of a core times seconds.
	DispatcherClassOffered  = "dispatcher_class_offered"
	DispatcherClassAdmitted = "dispatcher_class_admitted"
	// DispatcherClassShed counts the jobs that were shed, by service and class.
	DispatcherClassShed = "dispatcher_class_shed"
	// DispatcherClassFallback is a gauge that is 1 while the demand on a service is
	// estimated from this entry's own.
	DispatcherClassFallback = "dispatcher_class_fallback"
	// DispatcherMalformed counts requests that could not be read.
	DispatcherMalformed = "dispatcher_malformed"
	// StoreReads counts reads of the platform's table by outcome.
	StoreReads = "store_reads"
	// ManifestVersion is a gauge of the version of the manifest in force.
	ManifestVersion = "manifest_version"
	// ManifestsSent counts manifests sent to peers.
	ManifestsSent = "manifests_sent"
	// ManifestsReceived counts manifests received from peers, by outcome: "adopted", or
	// "not_newer" for one that the process had already.
	ManifestsReceived = "manifests_received"
	// ManifestAge is a gauge of the seconds since the snapshot in force was adopted.
	ManifestAge = "manifest_age_seconds"
	// ExecutorEntryAge is a gauge of the seconds since the last contact with an entry.
	ExecutorEntryAge = "executor_entry_age_seconds"
	// StoreAge is a gauge of the seconds since the last successful read of the table.
	StoreAge = "store_age_seconds"

	// TagRoute and TagEntry are tags for the names of a route and of an entry.
	TagRoute = "route"
	// TagMinionKind is a tag for the kind of a minion: its service and its labels.
	TagMinionKind = "minion_kind"
	TagEntry      = "entry"
	// TagService is a tag for the name of a service.
	TagService = "service"
)
