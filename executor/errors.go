package executor

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("executor")

// The errors that Minion.List returns for known outcomes. After any other error
// it is unknown whether the minion has carried out the request.
var (
	// ErrFenced means that the minion has seen a higher fence.
	ErrFenced = Error.New("the minion has seen a higher fence")
	// ErrOtherIncarnation means that another minion answers at the address.
	ErrOtherIncarnation = Error.New("another incarnation of the minion answered")
	// ErrNoMinion means that nothing listens at the address.
	ErrNoMinion = Error.New("no minion listens at the address")
)

// errNoSession is returned for calls on a connection that has no open session.
var errNoSession = Error.New("no session on this connection")

// errOtherSidecar is returned for a Hello or Adopt that was meant for another
// instance.
var errOtherSidecar = Error.New("another sidecar answers at this address")
