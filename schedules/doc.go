// Package schedules holds property tests that combine the pure decision packages
// under simulated time and random schedules: submissions of a key at several
// entries; lost, late, duplicated and reordered messages; paused and crashed
// processes; expired leases; outages and lost replies of the table; closed zones,
// drains, cancellations and concurrent operators.
//
// One goroutine drives a few entries and sidecars, which are thin wrappers around
// the decision packages and call them in the same order as packages entry,
// membership and claims do. The invariants are checked against the starts at the
// minions, the answers to callers and the commits that the table accepted.
//
// scripts/schedules.sh runs many more schedules.
package schedules
