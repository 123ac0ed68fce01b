package dispatcher

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("dispatcher")

// The errors of the requests about a job.
var (
	// ErrNoJob means that the job is unknown.
	ErrNoJob = Error.New("no such job")
	// ErrUnavailable means that the state of the job could not be read or
	// changed, in most cases because the job store is unavailable.
	ErrUnavailable = Error.New("the job store is unavailable")
)

// errNoManifest means that a sidecar did not have the manifest that it had reported.
var errNoManifest = Error.New("the sidecar has no newer manifest")

// errDismissed ends a session with a sidecar that has sessions with enough other
// entries.
var errDismissed = Error.New("the sidecar has enough entries")
