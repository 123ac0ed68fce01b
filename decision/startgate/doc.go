// Package startgate decides which tasks one sidecar starts, and keeps the
// records that prove what it did not start. It is a state machine without I/O:
// typed events go in with the time, typed actions come out.
//
// Four invariants hold after every event. A task with a record is not started
// again, unless its dispatch says that it may be repeated, and then never
// twice at the same time. A task is started only while its entry holds a live
// permit at that step. No task is started while as many run as the minion has
// slots. Every dispatch gets exactly one end.
package startgate
