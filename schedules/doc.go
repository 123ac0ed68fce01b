// Package schedules holds property tests that put the pure decisions together
// under fake time and drawn schedules: submissions of a key at several entries,
// messages that are lost, late, doubled and crossed, pauses and ends of
// processes, lapses of leases, outages of the table and lost replies of it,
// changes of zones, drains, cancellations and racing operators.
//
// One goroutine drives a few entries and sidecars, which are thin shells around
// the decision packages in the order of package entry, membership and claims.
// The judge sees only the starts at the minion and the answers to callers.
//
// scripts/schedules.sh makes long runs.
package schedules
