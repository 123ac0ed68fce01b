// Package jobstate decides the course of one job at its owner. It is a pure
// state machine: events go in, actions come out, and the time is an argument.
// One goroutine owns a Job.
//
// Invariants: a task is dispatched again only after it was handed back, that
// is, after a proof that its dispatch did not start and never will; a job has
// exactly one Finish; its answer is Complete only with every result; and the
// outcome is not_run only when no task can have been started.
package jobstate
