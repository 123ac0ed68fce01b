package runner

import "github.com/zeebo/errs"

// Error is the error class of this package.
var Error = errs.Class("load")
