// Package schedule holds tests alone: they play the decisions of entries and
// sidecars together, over drawn schedules of faults.
package schedule
