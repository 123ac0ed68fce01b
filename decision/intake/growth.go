package intake

// Growth is the decision on a client that needs more memory.
type Growth uint8

const (
	// Granted means that the bytes are counted.
	Granted Growth = iota
	// Awaited means that clients have given way, and that the room comes once their bytes
	// are released. The caller then asks again.
	Awaited
	// NoRoom means that the request has to be refused.
	NoRoom
	// GaveWay means that the client itself has given way.
	GaveWay
)
