package bundle

// State is the state of a proposal in its lifecycle.
type State string

const (
	// Proposed means that the proposal awaits the sign-off of another operator.
	Proposed State = "proposed"
	// SignedOff means that another operator has signed the proposal off and that
	// it may be rolled out.
	SignedOff State = "signed_off"
	// RolledOut means that the bundle of the proposal was put in force.
	RolledOut State = "rolled_out"
	// Rejected means that an operator has rejected the proposal.
	Rejected State = "rejected"
)
