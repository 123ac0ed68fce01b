package settings

import (
	"fmt"
	"time"

	"github.com/figring/figring/decision/intake"
)

// ClientLimits are the settings that bound what clients may use of a process. A zero value
// means the default.
type ClientLimits struct {
	// MemoryMB is the memory of the machine in millions of bytes; 256 by default.
	MemoryMB float64 `json:"memoryMB" validate:"min=0,max=100000000"`
	// MaxDescriptors is the number of files that the process may open; 4096 by default.
	MaxDescriptors int `json:"maxDescriptors" validate:"min=0,max=100000000"`
	// MaxBodyBytesInFlight bounds the bytes of unfinished requests; a quarter of the memory
	// by default.
	MaxBodyBytesInFlight int64 `json:"maxBodyBytesInFlight" validate:"min=0,max=1099511627776"`
	// MaxConnections bounds the connections of clients; derived from the memory and the
	// descriptors by default.
	MaxConnections int `json:"maxConnections" validate:"min=0,max=10000000"`
	// BodyTimeout bounds the time for one body; 10 s by default.
	BodyTimeout Duration `json:"bodyTimeout"`
}

// The least values of these settings, other than 0.
const (
	minMemoryMB       = 32
	minDescriptors    = 128
	minMaxConnections = 16
	minBodyTimeout    = Duration(10 * time.Millisecond)
	maxBodyTimeout    = Duration(time.Hour)
	megabyte          = 1_000_000
)

// The least values of maxBodyBytesInFlight: the largest body without limits in the manifest.
const (
	// minCallerBytes is the size in bytes of a submission.
	minCallerBytes = 256 << 10
	// minReportBytes is the size in bytes of a minion's report.
	minReportBytes = 4 << 20
)

// check validates the limits. minBodyBytes is the least value of MaxBodyBytesInFlight, other
// than 0.
func (l *ClientLimits) check(minBodyBytes int64) error {
	switch {
	case l.MemoryMB != 0 && l.MemoryMB < minMemoryMB:
		return tooSmall("memoryMB", l.MemoryMB, minMemoryMB)
	case l.MaxDescriptors != 0 && l.MaxDescriptors < minDescriptors:
		return tooSmall("maxDescriptors", l.MaxDescriptors, minDescriptors)
	case l.MaxBodyBytesInFlight != 0 && l.MaxBodyBytesInFlight < minBodyBytes:
		return tooSmall("maxBodyBytesInFlight", l.MaxBodyBytesInFlight, minBodyBytes)
	case l.MaxConnections != 0 && l.MaxConnections < minMaxConnections:
		return tooSmall("maxConnections", l.MaxConnections, minMaxConnections)
	case l.MaxDescriptors != 0 && l.MaxConnections >= l.MaxDescriptors:
		return &Error{Field: "maxConnections", Reason: "want less than maxDescriptors"}
	case l.BodyTimeout != 0 && (l.BodyTimeout < minBodyTimeout || l.BodyTimeout > maxBodyTimeout):
		return &Error{Field: "bodyTimeout", Reason: fmt.Sprintf("want %s to %s, or 0s for the default", minBodyTimeout.Std(), maxBodyTimeout.Std())}
	}
	return nil
}

func tooSmall(field string, value any, least int64) error {
	return &Error{Field: field, Reason: fmt.Sprintf("%v is too small, want at least %d, or 0 for the default", value, least)}
}

// machineBytes returns the memory of the machine in bytes.
func (l *ClientLimits) machineBytes() int64 {
	if l.MemoryMB == 0 {
		return intake.DefaultBytes
	}
	return int64(l.MemoryMB * megabyte)
}

// Limits returns the limits that the settings describe.
func (l *ClientLimits) Limits() intake.Limits {
	machine := intake.Machine{Bytes: l.machineBytes(), Descriptors: l.MaxDescriptors}
	return intake.Limits{
		Bytes: l.MaxBodyBytesInFlight, Connections: l.MaxConnections, BodyTimeout: l.BodyTimeout.Std(),
	}.Complete(machine)
}
