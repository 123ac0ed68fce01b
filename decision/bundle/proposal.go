package bundle

import "github.com/figring/figring/model"

// Proposal is a whole bundle that an operator wants in force instead of the
// version Base. Only a roll-out of it changes what is in force.
type Proposal struct {
	ID string `json:"id"`
	// Base is the version in force that the proposer started from.
	Base   int64        `json:"base"`
	Bundle model.Bundle `json:"bundle"`
	State  State        `json:"state"`

	ProposedBy  string `json:"proposedBy"`
	SignedOffBy string `json:"signedOffBy,omitempty"`
	RolledOutBy string `json:"rolledOutBy,omitempty"`
	RejectedBy  string `json:"rejectedBy,omitempty"`

	// The attempts name the write that made the step, so that its writer
	// recognises it after a lost reply.
	SignOffAttempt string `json:"signOffAttempt,omitempty"`
	RollOutAttempt string `json:"rollOutAttempt,omitempty"`
	RejectAttempt  string `json:"rejectAttempt,omitempty"`
}
