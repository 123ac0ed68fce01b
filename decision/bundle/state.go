package bundle

// State is how far a proposal has come.
type State string

const (
	// Proposed means that the proposal waits for another operator.
	Proposed State = "proposed"
	// SignedOff means that another operator agreed and that it may be rolled out.
	SignedOff State = "signed_off"
	// RolledOut means that the proposal became a version in force.
	RolledOut State = "rolled_out"
	// Rejected means that an operator turned the proposal down.
	Rejected State = "rejected"
)
