package bundle

import (
	"errors"
	"fmt"
)

// Errors of the steps in the lifecycle of a proposal.
var (
	// ErrSameOperator means that the proposer tried to sign off the proposal.
	ErrSameOperator = errors.New("a bundle is signed off by another operator than its proposer")
	// ErrWrongState means that the state of the proposal doesn't allow the step.
	ErrWrongState = errors.New("the proposal is in another state")
	// ErrMissingOperator means that the name of the operator is empty.
	ErrMissingOperator = errors.New("the operator's name is missing")
)

// ConflictError means that a change is based on a version that is not the one in
// force. The change was not made.
type ConflictError struct {
	// Base is the version that the change is based on.
	Base int64
	// Current is the version in force.
	Current int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change rests on version %d, but version %d is in force", e.Base, e.Current)
}

// InvalidError means that a field of a bundle or of an edit is invalid.
type InvalidError struct {
	// Field is the JSON path of the field.
	Field string
	// Reason states what the field may hold or what is wrong with its value.
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return e.Field + ": " + e.Reason
}
