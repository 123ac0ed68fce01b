package executor

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("executor")

// The errors that a Minion returns for a look. Any other error means that the
// outcome is unknown.
var (
	// ErrFenced means that the minion has seen a higher fence.
	ErrFenced = Error.New("the minion has seen a higher fence")
	// ErrOtherIncarnation means that another minion answers at the address.
	ErrOtherIncarnation = Error.New("another incarnation answers")
	// ErrNoMinion means that nothing listens at the address.
	ErrNoMinion = Error.New("no minion listens")
)

// errNoSession answers calls on a connection whose session is over.
var errNoSession = Error.New("no session on this connection")

// errOtherSidecar answers a Hello that was meant for another instance.
var errOtherSidecar = Error.New("another sidecar answers at this address")
