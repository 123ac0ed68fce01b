// Package executor is the role of a sidecar on instances whose minions run
// tasks under leases. It alone gives orders to the minion beside it. What it
// decides is in decision/execution; here are the goroutines around it:
//
//   - the loop, which owns the decisions
//   - the looker, which renews the lease and reads the minion's lists
//   - the callers, which send starts and stops
//   - the connections of the entries
//   - the announcer, which tells entries that the sidecar exists
package executor
