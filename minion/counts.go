package minion

// Counts holds the counters of the minion since its process started.
type Counts struct {
	Started int64 `json:"started"`
	// Succeeded, Failed and Stopped count the tasks that ended with
	// that result. Running is the number of tasks running now.
	Succeeded int64 `json:"succeeded"`
	Failed    int64 `json:"failed"`
	Stopped   int64 `json:"stopped"`
	Running   int64 `json:"running"`
	// PeakRunning is the largest number of tasks that ran at once.
	PeakRunning int64 `json:"peakRunning"`
	// SlotOverruns counts tasks that were refused because every slot was in use.
	SlotOverruns int64 `json:"slotOverruns"`
	// Late counts tasks that were refused because the time in
	// Figring-Start-Before had passed.
	Late int64 `json:"late"`
	// RefusedLeaving counts tasks that were refused while the minion was
	// leaving.
	RefusedLeaving int64 `json:"refusedLeaving"`
	// ConnectionOverruns counts connections that were closed immediately
	// because Options.Connections was reached.
	ConnectionOverruns int64 `json:"connectionOverruns"`
	PeakConnections    int64 `json:"peakConnections"`
}
