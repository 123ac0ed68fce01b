// Package request decides the course of one idempotent single request without
// a key. Such a request may be run more than once: nobody can submit it again,
// and its caller accepts a repetition. It is a pure state machine on the events
// and actions of package jobstate; one goroutine owns a Request.
//
// A dispatch that ends without a whole answer, or with a status of 500 and
// above, is repeated at another worker while the budget, the number of runs and
// the deadline allow it. A status of 500 counts because some workers fail every
// task; a status of 400 to 499 is the request's own fault and is final. A
// second dispatch may also be made while the first is open (a hedge).
//
// Invariants: there is exactly one Finish; the first whole answer wins; each
// dispatch beyond the first that does not follow a proof of no start was
// allowed by the budget; and the outcome is not_run only when every dispatch
// was proved not to have started.
package request
