package dedup

// State is the progress of the job of a known key.
type State uint8

const (
	// Claiming means that the write of the claim is in progress or that its
	// outcome is unknown.
	Claiming State = iota + 1
	// Running means that this process runs the job, under a claim that it wrote
	// or as an adopted job.
	Running
	// Answered means that the job has its final answer.
	Answered
	// ClaimedElsewhere means that the claim was loaded from the claim store and
	// that this process does not run the job.
	ClaimedElsewhere
)

// InProgress reports whether this process still has to answer the job.
func (s State) InProgress() bool {
	return s == Claiming || s == Running
}
