// Package schedule contains only tests. They simulate the decision logic of entries
// and sidecars together under random schedules of faults.
package schedule
