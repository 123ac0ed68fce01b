// Package dispatcher implements the entry role on instances whose minions run
// tasks under leases. An entry keeps each accepted job until the job has ended.
// Its decisions are made in decision/heldjob; this package has the goroutines
// around them:
//
//   - the loop, which owns the state that the decisions are made on
//   - one link for each sidecar with a session, which polls it and sends orders
//   - the RPC service for other entries, and for processes that announce
//     themselves
//   - the requests of callers, which wait for their answers
//   - the storage of jobs and the takeover of jobs whose owner is gone
package dispatcher
