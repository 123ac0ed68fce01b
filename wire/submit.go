package wire

import "github.com/figring/figring/model"

// Methods that entries call at each other.
const (
	MethodSubmit        = "Entry.Submit"
	MethodJoin          = "Entry.Join"
	MethodCancel        = "Entry.Cancel"
	MethodBundleChanged = "Entry.BundleChanged"
	MethodStatus        = "Entry.Status"
)

// SubmitRequest forwards a job to the owner of its partition. The call stays open
// until the job has an answer.
type SubmitRequest struct {
	From model.Incarnation
	// Owner is the incarnation that the sender believes to be the owner. Any other
	// incarnation refuses the job with CodeOwnerMoved.
	Owner model.Incarnation
	Spec  model.JobSpec
}

// JobReply contains either a terminal answer or a refusal, never both.
type JobReply struct {
	Answer  *model.Answer
	Refusal *model.Refusal
}

// JoinRequest waits for the answer of a job that the receiver claimed or owns, without
// submitting the job. If Wait is false, the call returns immediately.
type JoinRequest struct {
	From   model.Incarnation
	Key    model.JobKey
	Digest uint64
	Wait   bool
}

// CancelRequest cancels a job at its owner.
type CancelRequest struct {
	From model.Incarnation
	Key  model.JobKey
}

// BundleChangedRequest notifies an entry that a newer bundle was accepted, so that it
// reads the table immediately instead of at its next poll.
type BundleChangedRequest struct {
	Version int64
}

// BundleChangedReply contains the version of the bundle that the entry uses after
// reading the table.
type BundleChangedReply struct {
	Version int64
}
