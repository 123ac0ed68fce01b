package dedup

// State is how far the job of a known key has come.
type State uint8

const (
	// Claiming means that the write of the claim is in progress or that its
	// outcome is unknown.
	Claiming State = iota + 1
	// Running means that the claim is written and that this process runs the job.
	Running
	// Answered means that the job has its terminal answer.
	Answered
	// ClaimedElsewhere means that the claim was loaded from the table and that
	// this process has no job for it.
	ClaimedElsewhere
)

// InProgress reports whether this process still owes the job an answer.
func (s State) InProgress() bool {
	return s == Claiming || s == Running
}
