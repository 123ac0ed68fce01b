package intake

// Phase is how far the current request of a client is.
type Phase uint8

const (
	// Idle means that no request has begun.
	Idle Phase = iota
	// Header means that a header, or the preamble of an RPC connection, is incomplete.
	Header
	// Body means that a body is incomplete.
	Body
	// Serving means that the request is complete and its answer not yet sent. The client
	// keeps its connection.
	Serving
	// Answering means that an answer is being written that may be lost.
	Answering
)
