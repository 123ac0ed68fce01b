package bundle

import "github.com/figring/figring/model"

// Proposal is a complete bundle that an operator proposes as the replacement of
// version Base. The bundle in force changes only when the proposal is rolled out.
type Proposal struct {
	ID string `json:"id"`
	// Base is the version that was in force when the proposal was made.
	Base   int64        `json:"base"`
	Bundle model.Bundle `json:"bundle"`
	State  State        `json:"state"`

	ProposedBy  string `json:"proposedBy"`
	SignedOffBy string `json:"signedOffBy,omitempty"`
	RolledOutBy string `json:"rolledOutBy,omitempty"`
	RejectedBy  string `json:"rejectedBy,omitempty"`

	// Each attempt identifies the write that made the step, so that the writer
	// can recognise its own write if the reply was lost.
	SignOffAttempt string `json:"signOffAttempt,omitempty"`
	RollOutAttempt string `json:"rollOutAttempt,omitempty"`
	RejectAttempt  string `json:"rejectAttempt,omitempty"`
}
