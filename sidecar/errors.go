package sidecar

import "github.com/zeebo/errs"

// Error is the class of the errors of this package.
var Error = errs.Class("sidecar")

// ErrStopped is returned to calls that are open when the sidecar ends. Their
// outcome is unknown to the caller.
var ErrStopped = Error.New("stopped")
