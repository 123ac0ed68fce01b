package connguard

import (
	"time"

	"github.com/figring/figring/decision/intake"
)

// HeaderLimits bound the header of a request. A zero field means the default.
type HeaderLimits struct {
	// Bytes bounds the size, with the request line.
	Bytes int
	// Timeout bounds the time from the first byte to the last. The server's own timeout
	// holds too.
	Timeout time.Duration
}

// Options are the parameters of a guard.
type Options struct {
	Limits intake.Limits
	// Headers returns the limits of headers that are in force. nil means the defaults.
	Headers func() HeaderLimits
	// Observe is told each event with the name of the listener and the client's address.
	// It must not block. nil means that nobody is told.
	Observe func(event Event, listener, client string)
	// UnderPressure is told when clients come to use much of the memory, and when they no
	// longer do. nil means that nobody is told.
	UnderPressure func(bool)
	// Usage is told each second the number of connections and the buffered bytes. nil
	// means that nobody is told.
	Usage func(connections int, bytes int64)
}
