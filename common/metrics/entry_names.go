package metrics

// TagCaller and TagCode are tags of an entry's metrics.
const (
	TagCaller = "caller"
	TagCode   = "code"
)

// The metrics of an entry.
const (
	// EntryForwarded counts jobs handed to the owner of their partition.
	EntryForwarded = "entry_forwarded"
	// EntryOwnerLost counts tries at an owner that had moved or did not answer.
	EntryOwnerLost = "entry_owner_lost"
	// EntryRenewals counts renewals by sidecars.
	EntryRenewals = "entry_renewals"
	// EntryResubmitted counts submissions of known keys.
	EntryResubmitted = "entry_resubmitted"
	// EntryAdoptions counts jobs of former owners that were looked into.
	EntryAdoptions = "entry_adoptions"
	// EntryDispatches counts tasks sent to sidecars.
	EntryDispatches = "entry_dispatches"
	// EntryRedispatched counts tasks sent again after a proof of no start.
	EntryRedispatched = "entry_redispatched"
	// EntryHandedBack counts tasks handed back unstarted, by reason.
	EntryHandedBack = "entry_handed_back"
	// EntryUnknownOutcomes counts dispatches without a known end.
	EntryUnknownOutcomes = "entry_unknown"
	// EntryLateResults counts results of jobs that had ended.
	EntryLateResults = "entry_late_results"
	// EntryRetries counts idempotent requests sent again after a bad end.
	EntryRetries = "entry_retries"
	// EntryHedges counts second dispatches of late idempotent requests.
	EntryHedges = "entry_hedges"
	// EntryBudgetRefused counts retries and hedges that a budget refused.
	EntryBudgetRefused = "entry_budget_refused"
	// EntryWastedDispatches counts dispatches that were open when another one answered.
	EntryWastedDispatches = "entry_wasted"
	// EntryWithdrawals counts messages that take tasks back.
	EntryWithdrawals = "entry_withdrawals"
	// EntryRevocations counts messages that end a permit early.
	EntryRevocations = "entry_revocations"
	// EntryDuplicates counts dispatches of tasks that the sidecar had already.
	EntryDuplicates = "entry_duplicates"
	// EntryEmptyWithdrawals counts withdrawals that found nothing to take back.
	EntryEmptyWithdrawals = "entry_empty_withdrawals"
	// EntryIdleRenewals counts renewals by sidecars whose state was known; they
	// only prolong a permit.
	EntryIdleRenewals = "entry_idle_renewals"
	// EntryAnswersDropped counts answers that were not stored behind.
	EntryAnswersDropped = "entry_answers_dropped"
	// EntryRefused counts refusals by code.
	EntryRefused = "entry_refused"
	// EntryJobs counts answered jobs by caller and code; the code of a complete
	// one is "complete".
	EntryJobs = "entry_jobs"
	// EntryResponse is the histogram of response times by caller and class.
	EntryResponse = "entry_response"
	// EntryRunTime is the histogram of run times by caller and class.
	EntryRunTime = "entry_run_time"
)
