package minion

// Counts holds numbers since the start of the minion.
type Counts struct {
	Started int64 `json:"started"`
	// Succeeded, Failed and Stopped count the tasks that ended so.
	Succeeded int64 `json:"succeeded"`
	Failed    int64 `json:"failed"`
	Stopped   int64 `json:"stopped"`
	Running   int64 `json:"running"`
	// PeakRunning is the largest number of tasks that ran at once.
	PeakRunning int64 `json:"peakRunning"`
	// SlotOverruns counts tasks that were refused because all slots were taken.
	SlotOverruns int64 `json:"slotOverruns"`
	// Late counts tasks that were refused for Figring-Start-Before.
	Late int64 `json:"late"`
	// RefusedLeaving counts tasks that were refused while leaving.
	RefusedLeaving int64 `json:"refusedLeaving"`
	// ConnectionOverruns counts connections that were closed at once because
	// the limit was reached.
	ConnectionOverruns int64 `json:"connectionOverruns"`
	PeakConnections    int64 `json:"peakConnections"`
}
