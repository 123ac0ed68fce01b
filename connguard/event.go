package connguard

// Event is something that was done to a client.
type Event string

// The events. Their values are part of the log format and of the metrics.
const (
	// ClosedForBytes means that a client with an unfinished request gave way to one that
	// needed the memory.
	ClosedForBytes Event = "closed_for_bytes"
	// ClosedForConnection means that a client gave way to a new connection.
	ClosedForConnection Event = "closed_for_connection"
	// HeaderOverdue means that a header took too long.
	HeaderOverdue Event = "header_overdue"
	// BodyOverdue means that a body took too long.
	BodyOverdue Event = "body_overdue"
	// HeaderTooLarge means that a header exceeded the limit.
	HeaderTooLarge Event = "header_too_large"
	// RequestRefused means that there was no memory for a request.
	RequestRefused Event = "request_refused"
	// ConnectionRefused means that no connection could be closed for a new one.
	ConnectionRefused Event = "connection_refused"
)

// Events lists all events.
var Events = []Event{
	ClosedForBytes, ClosedForConnection, HeaderOverdue, BodyOverdue, HeaderTooLarge, RequestRefused, ConnectionRefused,
}
