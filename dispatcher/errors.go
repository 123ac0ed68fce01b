package dispatcher

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("dispatcher")
