package sidecar

import "github.com/zeebo/errs"

// Error is the error class of this package.
var Error = errs.Class("sidecar")

// ErrStopped is returned to calls that are open when the sidecar stops. The caller
// does not learn the outcome of such a call.
var ErrStopped = Error.New("stopped")
