package dispatcher

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("dispatcher")

// The errors that callers of the dispatcher get.
var (
	// ErrNoJob means that no such job is known.
	ErrNoJob = Error.New("no such job")
	// ErrUnavailable means that the store does not tell now.
	ErrUnavailable = Error.New("the store is away")
)

// errDismissed ends a session with a sidecar that has enough other entries.
var errDismissed = Error.New("the sidecar has enough entries")
