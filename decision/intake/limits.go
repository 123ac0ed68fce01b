package intake

import "time"

// Machine is the share of a machine that a process may use. A zero field means the default.
type Machine struct {
	// Bytes is the memory.
	Bytes int64
	// Descriptors is the number of open files.
	Descriptors int
}

// The machine that a process assumes if its settings name none.
const (
	DefaultBytes       = 256_000_000
	defaultDescriptors = 4096
)

const (
	// bodyShare is the part of the memory that bodies may use, as a divisor.
	bodyShare = 4
	// connectionShare is the part of the memory that connections may use, as a divisor.
	connectionShare = 4
	// connectionBytes is the memory of one connection: the buffers and stacks of the HTTP
	// server, a header that is not counted, and what the kernel holds.
	connectionBytes = 64 << 10
	// descriptorShare is the part of the descriptors that connections of clients may use,
	// as a divisor. The rest is for the processes of the system and the platform.
	descriptorShare = 2
	// minConnections keeps a tiny machine reachable.
	minConnections = 16
	// defaultBodyTimeout is the longest time for one body.
	defaultBodyTimeout = 10 * time.Second
)

// Limits bound what all clients together may use.
type Limits struct {
	// Bytes bounds the buffered bytes of bodies and of long headers.
	Bytes int64
	// Connections bounds the connections.
	Connections int
	// BodyTimeout bounds the time for one body.
	BodyTimeout time.Duration
}

// Complete returns the limits with each zero field derived from the machine.
func (l Limits) Complete(machine Machine) Limits {
	if machine.Bytes == 0 {
		machine.Bytes = DefaultBytes
	}
	if machine.Descriptors == 0 {
		machine.Descriptors = defaultDescriptors
	}
	if l.Bytes == 0 {
		l.Bytes = machine.Bytes / bodyShare
	}
	if l.Connections == 0 {
		byMemory := machine.Bytes / connectionShare / connectionBytes
		l.Connections = max(minConnections, int(min(byMemory, int64(machine.Descriptors/descriptorShare))))
	}
	if l.BodyTimeout == 0 {
		l.BodyTimeout = defaultBodyTimeout
	}
	return l
}
