package wire

import "github.com/figring/figring/model"

// The methods that entries call at each other.
const (
	MethodSubmit        = "Entry.Submit"
	MethodJoin          = "Entry.Join"
	MethodCancel        = "Entry.Cancel"
	MethodBundleChanged = "Entry.BundleChanged"
	MethodStatus        = "Entry.Status"
)

// SubmitRequest forwards a job to the owner of its partition. The call stays
// open until the job has its answer.
type SubmitRequest struct {
	From model.Incarnation
	// Owner is the incarnation that the sender takes for the owner. Another
	// one refuses with CodeOwnerMoved.
	Owner model.Incarnation
	Spec  model.JobSpec
}

// JobReply carries a terminal answer or a refusal, never both.
type JobReply struct {
	Answer  *model.Answer
	Refusal *model.Refusal
}

// JoinRequest waits for the answer of a job that the receiver claimed, without
// submitting it. With Wait false it returns at once.
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

// BundleChangedRequest tells an entry that a newer bundle was accepted, so
// that it reads the table at once instead of at its next poll.
type BundleChangedRequest struct {
	Version int64
}

// BundleChangedReply gives the version that the entry acts on after its read.
type BundleChangedReply struct {
	Version int64
}
