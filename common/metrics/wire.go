package metrics

// The metrics of connections between figring's own processes.
const (
	// WireReadBytes counts the bytes read from these connections.
	WireReadBytes = "wire_read_bytes"
	// WireWrittenBytes counts the bytes written to these connections.
	WireWrittenBytes = "wire_written_bytes"
)
