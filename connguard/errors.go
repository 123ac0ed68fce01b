package connguard

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("connguard")

var (
	// ErrNoRoom means that there is no memory for the request now.
	ErrNoRoom = Error.New("no memory for the request")
	// ErrClosed means that the connection was closed before the request was complete.
	ErrClosed = Error.New("the connection gave way to others")
	// errHeaderTooLarge means that a header exceeds the limit.
	errHeaderTooLarge = Error.New("the header is too large")
)
