package wire

import "errors"

// Errors of a call. Every error returned by Pool.Call wraps ErrNotSent or
// ErrOutcomeUnknown.
var (
	// ErrNotSent guarantees that no byte of the request left this process.
	ErrNotSent = errors.New("rpc request not sent")
	// ErrOutcomeUnknown means that the peer may have received and processed the
	// request.
	ErrOutcomeUnknown = errors.New("rpc outcome unknown")
	// ErrHandshake means that the handshake failed, for example because the peer
	// has another shared secret.
	ErrHandshake = errors.New("rpc handshake refused")
)
