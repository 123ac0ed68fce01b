package work

// End says how a run of a task ended.
type End int

const (
	// EndDone means that the task has done its work.
	EndDone End = iota + 1
	// EndFailed means that the task failed, by its own fault or the minion's.
	EndFailed
	// EndStopped means that the run was stopped on an order.
	EndStopped
	// EndLapsed means that the lease of the minion's runs was not renewed in time.
	EndLapsed
	// EndNotRun means that the run never started and never will.
	EndNotRun
	// EndGone means that the run is not at work any more and that nothing else is
	// known: the minion's incarnation ended, and the run with it, or the sidecar
	// has no record of the run.
	EndGone
	// EndStuck means that the run made no progress and was stopped for it.
	EndStuck
)

var endNames = map[End]string{
	EndDone:    "done",
	EndFailed:  "failed",
	EndStopped: "stopped",
	EndLapsed:  "lapsed",
	EndNotRun:  "not_run",
	EndGone:    "gone",
	EndStuck:   "stuck",
}

// String returns the name of the end for logs and metrics.
func (e End) String() string {
	if name, ok := endNames[e]; ok {
		return name
	}
	return "unknown"
}
