package metrics

// TagCaller and TagCode are tags of an entry's metrics.
const (
	TagCaller = "caller"
	TagCode   = "code"
)

// The metrics of an entry.
const (
	// EntryForwarded counts jobs forwarded to the owner of their partition.
	EntryForwarded = "entry_forwarded"
	// EntryOwnerLost counts forwarding attempts that failed because the owner had
	// moved or did not answer.
	EntryOwnerLost = "entry_owner_lost"
	// EntryRenewals counts permit renewals by sidecars.
	EntryRenewals = "entry_renewals"
	// EntryResubmitted counts submissions whose key is already known.
	EntryResubmitted = "entry_resubmitted"
	// EntryAdoptions counts jobs adopted from previous owners.
	EntryAdoptions = "entry_adoptions"
	// EntryDispatches counts tasks sent to sidecars.
	EntryDispatches = "entry_dispatches"
	// EntryRedispatched counts tasks sent again after proof that they were not started.
	EntryRedispatched = "entry_redispatched"
	// EntryHandedBack counts tasks that sidecars returned without a start, by reason.
	EntryHandedBack = "entry_handed_back"
	// EntryUnknownOutcomes counts dispatches whose outcome is unknown.
	EntryUnknownOutcomes = "entry_unknown"
	// EntryLateResults counts results that arrived after the job had ended.
	EntryLateResults = "entry_late_results"
	// EntryRetries counts idempotent requests that were retried after a failure.
	EntryRetries = "entry_retries"
	// EntryHedges counts hedged dispatches of slow idempotent requests.
	EntryHedges = "entry_hedges"
	// EntryBudgetRefused counts retries and hedges refused by a budget.
	EntryBudgetRefused = "entry_budget_refused"
	// EntryWastedDispatches counts dispatches still open when another dispatch of the
	// same request was answered.
	EntryWastedDispatches = "entry_wasted"
	// EntryWithdrawals counts messages that withdraw tasks from a sidecar.
	EntryWithdrawals = "entry_withdrawals"
	// EntryRevocations counts messages that revoke a permit before it expires.
	EntryRevocations = "entry_revocations"
	// EntryDuplicates counts dispatches of tasks that the sidecar already had.
	EntryDuplicates = "entry_duplicates"
	// EntryEmptyWithdrawals counts withdrawals that found no task to withdraw.
	EntryEmptyWithdrawals = "entry_empty_withdrawals"
	// EntryIdleRenewals counts renewals by sidecars whose state had not changed;
	// they only extend a permit.
	EntryIdleRenewals = "entry_idle_renewals"
	// EntryAnswersDropped counts answers that could not be written to the store.
	EntryAnswersDropped = "entry_answers_dropped"
	// EntryRefused counts refusals by code.
	EntryRefused = "entry_refused"
	// EntryJobs counts answered jobs by caller and code; the code of a complete
	// job is "complete".
	EntryJobs = "entry_jobs"
	// EntryResponse is a histogram of response times by caller and class.
	EntryResponse = "entry_response"
	// EntryRunTime is a histogram of run times by caller and class.
	EntryRunTime = "entry_run_time"
)
