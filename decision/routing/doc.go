// Package routing decides which sidecar gets a task. It is a pure decision: it
// does no I/O, reads no clock and draws randomness only from an injected
// source. One goroutine owns a Router.
//
// Expected is the product's way; Random, RoundRobin and LeastOutstanding are
// baselines to measure it against. All of them share the knowledge of targets
// in a Fleet, and none sends a task to a target whose slots and shallow queue
// are known to be full: such a task waits at the entry, where the choice can
// still be made by what is known later.
package routing
