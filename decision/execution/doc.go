// Package execution decides what runs on one minion. It holds the state of a
// sidecar as a plain state machine: its inputs are events and the current time,
// its outputs calls to the minion and events for the entries. It does no I/O and
// reads no clock.
//
// Its invariants hold when calls to the minion are lost, delayed or duplicated:
//
//   - The needs of all runs that may be in progress never exceed the capacity.
//     A start without an answer counts until a listing proves that it will
//     never run.
//   - A run is reported as ended only when no copy of it can be in progress.
//   - An entry that has not been heard from for SilenceLimit has no runs.
//
// It is designed for a minion with about ten runs at a time and about a hundred
// starts a second.
package execution
