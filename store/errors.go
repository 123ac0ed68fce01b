package store

import "errors"

// The errors of the platform. Every error that an implementation returns wraps
// exactly one of them, or the context's own error when nothing was sent.
var (
	// ErrUnavailable means that the request had no effect: retrying is safe.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrConflict means that a condition did not hold and nothing was written.
	ErrConflict = errors.New("platform condition failed")
	// ErrUnknownOutcome means that a write may have taken effect. The caller
	// must read before it concludes anything.
	ErrUnknownOutcome = errors.New("platform outcome unknown")
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("platform item not found")
	// ErrInvalid means that the request can never succeed.
	ErrInvalid = errors.New("platform request invalid")
)
