package entry

import "github.com/zeebo/errs"

// errListen is the class of errors of opening an entry's listeners.
var errListen = errs.Class("entry: listen")

// errStore is the class of errors of the platform's table as this package
// reports them.
var errStore = errs.Class("entry: table")
