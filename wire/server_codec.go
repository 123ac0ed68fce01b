package wire

import (
	"net/rpc"
	"sync/atomic"
)

// countingCodec counts the calls that have been read but not answered, so that a
// server can stop without interrupting a response.
type countingCodec struct {
	rpc.ServerCodec
	openCalls *atomic.Int64
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c countingCodec) ReadRequestHeader(request *rpc.Request) error {
	err := c.ServerCodec.ReadRequestHeader(request)
	if err == nil {
		c.openCalls.Add(1)
	}
	return err
}

// WriteResponse implements rpc.ServerCodec. net/rpc calls it once for each
// request whose header was read.
func (c countingCodec) WriteResponse(response *rpc.Response, body any) error {
	defer c.openCalls.Add(-1)
	return c.ServerCodec.WriteResponse(response, body)
}
