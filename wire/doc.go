// Package wire holds the messages that figring's own processes exchange over
// net/rpc, and the helpers that serve and dial them. Every message is a typed
// value, so that a test or a bench can record and replay it. A refusal travels
// inside the reply: a net/rpc error means that the transport failed and that
// the outcome of the call is unknown.
package wire
