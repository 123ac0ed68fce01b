package wire

import "time"

// SidecarRowPrefix starts the key of every sidecar's row.
const SidecarRowPrefix = "sidecars/"

// SidecarRow is what a sidecar writes about itself into the table. A row stays
// when its sidecar ends, so that a later incarnation is never taken for the
// first.
type SidecarRow struct {
	Target Target
	// Started is the start of this incarnation in Unix milliseconds.
	Started int64
	// First is true when no incarnation ran under the name before.
	First bool
	// Left is true after an ordered stop.
	Left bool
	// LeftAt is the time of that stop in Unix milliseconds.
	LeftAt int64
	// ResultsBehind is true when calls were open at the ordered stop, so that
	// the results of their tasks are lost with the process.
	ResultsBehind bool
}

// SidecarRowKey returns the key of the row of the sidecar called name.
func SidecarRowKey(name string) string { return SidecarRowPrefix + name }

// ShutdownTime returns the time of the ordered stop, and zero when there was none.
func (r *SidecarRow) ShutdownTime() time.Time {
	if !r.Left || r.LeftAt <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(r.LeftAt)
}
