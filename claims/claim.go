package claims

import "github.com/figring/figring/model"

// Claim records that a job key is taken.
type Claim struct {
	Key model.JobKey
	// Digest is the digest of the submission that took the key.
	Digest uint64
	// Tasks is the number of tasks of the job.
	Tasks int
	// ClaimedUnixMs is the time of the claim on the claimer's wall clock.
	ClaimedUnixMs int64
	// Adoptions counts the entries that took the job over before: 0 for the
	// claim of the first. Of several claims of a key the one with the most
	// adoptions tells who has the job.
	Adoptions int
}
