package entry

import "github.com/zeebo/errs"

// errListen is the class of errors in opening an entry's listeners.
var errListen = errs.Class("entry: listen")

// errStore is the class of errors in reading the platform's table.
var errStore = errs.Class("entry: table")
