// Package dispatcher is the role of an entry on instances whose minions run
// tasks under leases. It holds each job until it has ended. What it decides is
// in decision/heldjob; here are the goroutines around it:
//
//   - the loop, which owns the decisions
//   - one link for each known sidecar, which polls it and sends orders
//   - the service through which processes announce themselves
//   - the requests of callers, which wait for their answers
package dispatcher
