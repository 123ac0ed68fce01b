package dispatcher

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("dispatcher")

// errDismissed ends a session with a sidecar that has enough other entries.
var errDismissed = Error.New("the sidecar has enough entries")
