package bundle

import (
	"errors"
	"fmt"
)

// The errors of the life of a bundle.
var (
	// ErrSameOperator means that a proposer tried to sign off their own proposal.
	ErrSameOperator = errors.New("a bundle is signed off by another operator than its proposer")
	// ErrWrongState means that the proposal isn't in the state that the step needs.
	ErrWrongState = errors.New("the proposal is in another state")
	// ErrMissingOperator means that the operator's name is missing.
	ErrMissingOperator = errors.New("the operator's name is missing")
)

// ConflictError means that the change rests on a version that is no longer the
// one in force. Nothing was changed.
type ConflictError struct {
	// Base is the version that the change rests on.
	Base int64
	// Current is the version in force.
	Current int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change rests on version %d, but version %d is in force", e.Base, e.Current)
}

// InvalidError names the field of a bundle that breaks a rule.
type InvalidError struct {
	// Field is the path of the field in JSON.
	Field string
	// Reason says what the field may hold.
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return e.Field + ": " + e.Reason
}
