package metrics

// The metrics of connections between figring's own processes.
const (
	// WireReadBytes counts the bytes read.
	WireReadBytes = "wire_read_bytes"
	// WireWrittenBytes counts the bytes written.
	WireWrittenBytes = "wire_written_bytes"
)
