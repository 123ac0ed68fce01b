// Package routing decides which sidecar gets a task. It does no I/O, does not
// read the clock and uses only the source of randomness that it is given. A
// Router is not safe for concurrent use.
//
// ShortestExpectedDelay is the default router. Random, RoundRobin and
// LeastOutstanding are baselines to compare it with. All of them embed a Fleet,
// which tracks the targets. None sends a task to a target whose slots and short
// queue are known to be full. Such a task waits at the entry, so that its target
// can be chosen later with newer information.
package routing
