package store

import "errors"

// Every error that an implementation returns wraps exactly one of these errors,
// or the error of the context when no request was sent.
var (
	// ErrUnavailable means that the request had no effect, so a retry is safe.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrConflict means that a condition of the transaction did not hold and that
	// nothing was written.
	ErrConflict = errors.New("platform condition failed")
	// ErrUnknownOutcome means that a write may or may not have taken effect. The
	// caller must read the stored state to find out.
	ErrUnknownOutcome = errors.New("platform outcome unknown")
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("platform item not found")
	// ErrInvalid means that the request is malformed, so that a retry cannot
	// succeed.
	ErrInvalid = errors.New("platform request invalid")
)
