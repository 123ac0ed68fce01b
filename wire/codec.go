package wire

import (
	"net"
	"net/rpc"
	"sync/atomic"
)

// trackedRequest carries the arguments of a call together with a mark that is
// set just before the first byte of it may be written.
type trackedRequest struct {
	body any
	sent *atomic.Bool
}

// trackingCodec marks a request as sent before it hands it to the connection.
// net/rpc reports the same error for a call that was cut off and for one that
// never left, and only the latter may be dispatched again.
type trackingCodec struct {
	rpc.ClientCodec
	conn net.Conn
}

// Close implements rpc.ClientCodec. It closes the connection itself, because
// the library's Close sets a field that its reads look at without a lock.
func (c trackingCodec) Close() error {
	return c.conn.Close()
}

// WriteRequest implements rpc.ClientCodec.
func (c trackingCodec) WriteRequest(header *rpc.Request, body any) error {
	if tracked, ok := body.(trackedRequest); ok {
		tracked.sent.Store(true)
		body = tracked.body
	}
	return c.ClientCodec.WriteRequest(header, body)
}
