package bundle

import "github.com/figring/figring/model"

// Propose returns a proposal to replace current with next. It returns a
// ConflictError unless base is the version of current.
func Propose(id, operator string, base int64, current, next model.Bundle, rules Rules) (Proposal, error) {
	if operator == "" {
		return Proposal{}, ErrMissingOperator
	}
	if base != current.Version {
		return Proposal{}, &ConflictError{Base: base, Current: current.Version}
	}
	next = normalise(next)
	if err := rules.Validate(next); err != nil {
		return Proposal{}, err
	}
	next.Version = base + 1
	return Proposal{ID: id, Base: base, Bundle: next, State: Proposed, ProposedBy: operator}, nil
}

// SignOff returns the proposal as signed off by operator, who must not be its
// proposer. The attempt identifies the write of this step.
func SignOff(proposal Proposal, operator, attempt string) (Proposal, error) {
	if operator == "" {
		return proposal, ErrMissingOperator
	}
	if proposal.State != Proposed {
		return proposal, ErrWrongState
	}
	if operator == proposal.ProposedBy {
		return proposal, ErrSameOperator
	}
	proposal.State = SignedOff
	proposal.SignedOffBy = operator
	proposal.SignOffAttempt = attempt
	return proposal, nil
}

// RollOut returns the proposal as rolled out and the bundle that it puts in
// force. The caller must store both on the condition that current is still in
// force, so that of two concurrent roll-outs one fails with a ConflictError.
// RollOut itself returns a ConflictError unless the proposal is based on the
// version of current. The attempt identifies the write of this step.
func RollOut(proposal Proposal, current model.Bundle, operator, attempt string) (Proposal, model.Bundle, error) {
	if operator == "" {
		return proposal, current, ErrMissingOperator
	}
	if proposal.State != SignedOff {
		return proposal, current, ErrWrongState
	}
	if proposal.Base != current.Version {
		return proposal, current, &ConflictError{Base: proposal.Base, Current: current.Version}
	}
	proposal.State = RolledOut
	proposal.RolledOutBy = operator
	proposal.RollOutAttempt = attempt
	next := proposal.Bundle
	next.Version = current.Version + 1
	return proposal, next, nil
}

// Reject returns the proposal as rejected by operator. The bundle in force stays.
// The attempt identifies the write of this step.
func Reject(proposal Proposal, operator, attempt string) (Proposal, error) {
	if operator == "" {
		return proposal, ErrMissingOperator
	}
	if proposal.State != Proposed && proposal.State != SignedOff {
		return proposal, ErrWrongState
	}
	proposal.State = Rejected
	proposal.RejectedBy = operator
	proposal.RejectAttempt = attempt
	return proposal, nil
}
