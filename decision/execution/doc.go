// Package execution decides what runs on one minion. It is the state of a
// sidecar as a plain state machine: events and the time go in, calls to the
// minion and events for the entries come out. It does no I/O and has no clock.
//
// Its invariants, under lost, late and doubled calls to the minion:
//
//   - The needs of all runs that may be at work never exceed the capacity. A
//     start without an answer counts until a list proves that it never runs.
//   - A run is reported as ended only when no copy of it can be at work.
//   - An entry that has not been heard from for SilenceLimit has no runs.
//
// It is built for a minion of some ten runs at a time and some hundred starts a
// second.
package execution
