package rollout

import (
	"errors"
	"fmt"
)

// The errors of this package, besides those of package decision/bundle.
var (
	// ErrUnavailable means that the store can't be reached and that nothing
	// was changed by the call.
	ErrUnavailable = errors.New("bundle store unavailable")
	// ErrOutcomeUnknown means that a change may have been accepted. The
	// history shows whether it was once the store responds; see
	// UnknownOutcomeError.
	ErrOutcomeUnknown = errors.New("outcome of the bundle change unknown")
	// ErrNotFound means that no such proposal or version exists.
	ErrNotFound = errors.New("bundle proposal not found")
	// ErrCorrupt means that a row in the store is not one that this package
	// writes.
	ErrCorrupt = errors.New("bundle row corrupt")
	// ErrSignOffNeeded means that the edit needs a second operator.
	ErrSignOffNeeded = errors.New("the edit needs the sign-off of a second operator")
	// ErrTooManyConflicts means that other changes were committed first at every
	// attempt of this one, which had no effect.
	ErrTooManyConflicts = errors.New("bundle changed by others at every attempt")

	// errConditionFailed means that a condition of the transaction did not hold
	// and that nothing was written.
	errConditionFailed = errors.New("condition of the bundle change did not hold")
)

// UnknownOutcomeError identifies a write whose outcome is unknown.
type UnknownOutcomeError struct {
	// Attempt is the identifier in the row that the write would have stored.
	Attempt string
	cause   error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%v (attempt %s): %v", ErrOutcomeUnknown, e.Attempt, e.cause)
}

// Is makes errors.Is(err, ErrOutcomeUnknown) hold.
func (e *UnknownOutcomeError) Is(target error) bool { return target == ErrOutcomeUnknown }

// Unwrap returns the last error of the store or of the context.
func (e *UnknownOutcomeError) Unwrap() error { return e.cause }
