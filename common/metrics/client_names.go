package metrics

// The metrics of clients that nobody controls.
const (
	// ClientsLimited counts connections that were closed, and requests and connections
	// that were refused, to stay within the limits, by reason.
	ClientsLimited = "clients_limited"
	// ClientConnections is a gauge of the connections that count against the limit.
	ClientConnections = "client_connections"
	// ClientBytes is a gauge of the bytes that are buffered for unfinished requests.
	ClientBytes = "client_bytes"
)
