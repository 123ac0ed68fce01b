package wire

import "errors"

// The errors of a call. Every error returned by Pool.Call wraps one of them.
var (
	// ErrNotSent proves that no byte of the request left this process.
	ErrNotSent = errors.New("rpc request not sent")
	// ErrOutcomeUnknown means that the request may have reached the peer and
	// may have had its effect.
	ErrOutcomeUnknown = errors.New("rpc outcome unknown")
	// ErrHandshake means that the peer refused the shared secret.
	ErrHandshake = errors.New("rpc handshake refused")
)
