package work

// End says how a run of a task ended.
type End int

const (
	// EndDone means that the task completed.
	EndDone End = iota + 1
	// EndFailed means that the task failed, because of the task or the minion.
	EndFailed
	// EndStopped means that the run was stopped by an order.
	EndStopped
	// EndLapsed means that the lease of the minion's runs expired because it was
	// not renewed in time.
	EndLapsed
	// EndNotRun means that the run never started and never will.
	EndNotRun
	// EndGone means that the run is no longer active and that its outcome is
	// unknown: the minion left, and the run with it, or the sidecar has no record of
	// the run.
	EndGone
	// EndStuck means that the run was stopped because it made no progress.
	EndStuck
	// EndCrashed means that the minion crashed while the run was in progress there,
	// or may have been. The run may have caused the crash.
	EndCrashed
)

var endNames = map[End]string{
	EndDone:    "done",
	EndFailed:  "failed",
	EndStopped: "stopped",
	EndLapsed:  "lapsed",
	EndNotRun:  "not_run",
	EndGone:    "gone",
	EndStuck:   "stuck",
	EndCrashed: "crashed",
}

// String returns the name that logs and metrics use.
func (e End) String() string {
	if name, ok := endNames[e]; ok {
		return name
	}
	return "unknown"
}
