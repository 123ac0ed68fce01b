// Package executor implements the sidecar role on instances whose minions run
// tasks under leases. The sidecar is the only process that gives orders to the
// minion on its instance. Its decisions are made in decision/execution; this
// package has the goroutines around them:
//
//   - the loop, which owns the state that the decisions are made on
//   - the listers, which renew the lease and list the minion's runs
//   - the order senders, which send starts and stops
//   - the connections of the entries
//   - the announcer, which announces the sidecar to entries
package executor
