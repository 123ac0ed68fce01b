// Package schedule contains only tests. They simulate the decision logic of entries
// and sidecars together under random schedules of faults, with best-effort jobs and with
// stored ones.
package schedule
