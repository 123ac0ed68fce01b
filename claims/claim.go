package claims

import "github.com/figring/figring/model"

// Claim records that an entry has accepted the job with the key.
type Claim struct {
	Key model.JobKey
	// Digest is the digest of the submission that first used the key.
	Digest uint64
	// Tasks is the number of tasks of the job.
	Tasks int
	// ClaimedUnixMs is the time of the claim by the wall clock of the claiming
	// entry.
	ClaimedUnixMs int64
	// Adoptions is the number of times that the job was taken over by another
	// entry before this claim; 0 for the first claim. When a key has several
	// claims, the one with the most adoptions identifies the current owner.
	Adoptions int
}
