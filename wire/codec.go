package wire

import (
	"net"
	"net/rpc"
	"sync/atomic"
)

// trackedRequest carries the arguments of a call and a flag that is set immediately
// before the first byte of the request can be written.
type trackedRequest struct {
	body any
	sent *atomic.Bool
}

// trackingCodec marks a request as sent before it writes the request to the
// connection. net/rpc reports the same error for a request that was interrupted and
// for one that was never sent, but only the latter may be dispatched again.
type trackingCodec struct {
	rpc.ClientCodec
	conn net.Conn
}

// Close implements rpc.ClientCodec. It closes the connection directly, because Close
// of the wrapped codec sets a field that its reads access without a lock.
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
