package membership

import "errors"

var (
	// ErrFenced means that the session of this incarnation was taken over. The
	// incarnation can never own or claim anything again; the process must start
	// again as a new incarnation.
	ErrFenced = errors.New("session was taken over")
	// ErrTableUnavailable means that the table did not complete an operation before
	// the caller's context ended.
	ErrTableUnavailable = errors.New("membership table not accessible")
)
