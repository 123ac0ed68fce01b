package dedup

// Verdict is the result of Table.Submit.
type Verdict uint8

const (
	// New means that no claim of the key exists. The caller of Submit must
	// write one before it dispatches any task.
	New Verdict = iota + 1
	// Join means that the same job is in progress here or is answered.
	Join
	// Conflict means that the key was used for a job with another digest.
	Conflict
	// Expired means that the key is so old that it may have been used and
	// removed.
	Expired
	// Invalid means that the creation time in the key is too far in the future.
	Invalid
	// Adopt means that a claim of the job exists but that this process does not
	// run the job. The caller must query the claimer or adopt the job.
	Adopt
	// NotOwned means that this Table does not own the key's partition.
	NotOwned
	// Loading means that the claims of the key's partition are being loaded.
	Loading
)
