package wire

import "time"

// SidecarRowPrefix is the key prefix of the rows of sidecars.
const SidecarRowPrefix = "sidecars/"

// SidecarRow is the table row that a sidecar writes about itself. The row is kept when
// the sidecar ends, so that a later incarnation is not mistaken for the first.
type SidecarRow struct {
	Target Target
	// Started is the start time of this incarnation in Unix milliseconds.
	Started int64
	// First reports whether this is the first incarnation under its name.
	First bool
	// Left reports whether the sidecar has shut down gracefully.
	Left bool
	// LeftAt is the time of the graceful shutdown in Unix milliseconds.
	LeftAt int64
	// ResultsBehind reports whether calls were still open, or replies unwritten, at
	// the graceful shutdown, so that the results of their tasks were lost.
	ResultsBehind bool
}

// SidecarRowKey returns the key of the row of the named sidecar.
func SidecarRowKey(name string) string { return SidecarRowPrefix + name }

// ShutdownTime returns the time of the graceful shutdown, or the zero time if there
// was none or its time is unknown.
func (r *SidecarRow) ShutdownTime() time.Time {
	if !r.Left || r.LeftAt <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(r.LeftAt)
}
