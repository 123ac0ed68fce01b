package dedup

// Verdict is the decision about a submission.
type Verdict uint8

const (
	// New means that no claim of the key exists: the caller of Submit must
	// write one before it dispatches anything.
	New Verdict = iota + 1
	// Join means that the same job is in progress here or answered.
	Join
	// Conflict means that the key was used for a job with another digest.
	Conflict
	// Expired means that the key is too old to be told from a forgotten one.
	Expired
	// Invalid means that the key claims to be made too far in the future.
	Invalid
	// Adopt means that a claim of the job exists and that this process has no
	// job for it: the claimer is to be asked, or the job adopted.
	Adopt
	// NotOwned means that the key's partition is not served by this table.
	NotOwned
	// Loading means that the claims of the key's partition are being read.
	Loading
)
