package membership

import "errors"

// The errors of this package.
var (
	// ErrFenced means that this incarnation's session was taken over. It can
	// never own or claim anything again; the process starts as another one.
	ErrFenced = errors.New("session was taken over")
	// ErrTableUnavailable means that the table could not be used in time.
	ErrTableUnavailable = errors.New("membership table not accessible")
)
