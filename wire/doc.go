// Package wire defines the messages that figring's processes exchange over net/rpc,
// and a client pool and a server for them. Every message is a typed value, so that
// tests and benchmarks can record and replay it. Refusals are part of the reply: a
// net/rpc error means that the transport failed and that the outcome of the call is
// unknown.
package wire
