package session

import "github.com/figring/figring/work"

// JobRequest asks an entry about a stored job that it owns.
type JobRequest struct{ Job work.JobID }

// JobReply answers a JobRequest.
type JobReply struct {
	// Begun means that the entry owns the job and a task of it has started.
	Begun bool
}

// EndedRequest tells an entry that another entry has ended a job that it owned.
type EndedRequest struct{ Job work.JobID }

// EndedReply acknowledges an EndedRequest.
type EndedReply struct{}

// OwnershipRequest asks an entry whether it regards the stored jobs of an owner as without one.
// Owner and Boot are those of the owner's row.
type OwnershipRequest struct{ Owner, Boot string }

// OwnershipReply answers an OwnershipRequest.
type OwnershipReply struct {
	// Revoked means that the newest read of the owner rows has shown to the entry that the
	// owner owns nothing any more, so that the entry may take its jobs over.
	Revoked bool
}

// PendingRequest asks an entry for the number of its jobs of a route of which no
// task has started.
type PendingRequest struct{ Route string }

// PendingReply answers a PendingRequest.
type PendingReply struct {
	Count int
	// Boot is the incarnation of the entry. The count has no jobs of an earlier one.
	Boot string
}
