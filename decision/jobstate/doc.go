// Package jobstate implements the state machine of one job at its owner. It does
// no I/O and reads no clock: it takes events and the current time and returns
// actions. One goroutine owns a Job.
//
// Invariants:
//   - A task is dispatched again only after its dispatch was handed back, which
//     proves that the dispatch did not start the task and never will.
//   - A job has exactly one Finish.
//   - The answer is Complete only with the results of all tasks.
//   - The outcome is not_run only if no task can have been started.
package jobstate
