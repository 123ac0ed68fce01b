// Package startgate decides which tasks a sidecar starts, and records the
// started ones, so that the sidecar can prove which tasks it did not start. It
// is a state machine without I/O: it takes an event and the current time, and
// returns the actions to perform.
//
// Four invariants hold after every event:
//   - A task with a record is not started again unless its dispatch is marked
//     repeatable, and a repeatable task never runs twice at the same time.
//   - A task is started only if its entry's permit is live at that moment.
//   - No task is started while all slots of the minion are in use.
//   - Every dispatch ends exactly once.
package startgate
