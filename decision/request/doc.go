// Package request decides when an idempotent request with a single task and
// without a key is dispatched, retried, hedged and answered. Such a request may
// be run more than once: without a key the caller can't resubmit it, and by
// marking it idempotent the caller accepts repeated runs. It is a state machine
// without I/O that uses the events and actions of package jobstate. One
// goroutine owns a Request.
//
// A dispatch that ends without a complete response, or with a status of 500 or
// above, is retried at another worker while the budget, the number of runs and
// the deadline allow it. A status of 500 or above is retried because some
// workers fail every task. A status of 400 to 499 is caused by the request
// itself and is final. A second dispatch may also be sent while the first is
// open (a hedge).
//
// Invariants:
//   - There is exactly one Finish.
//   - The first complete response with a status below 500 ends the request.
//   - Each dispatch after the first was allowed by the budget, unless it
//     replaces one that was proved not to have started.
//   - The outcome is not_run only if every dispatch was proved not to have
//     started.
package request
