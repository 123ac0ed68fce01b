package link

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/zeebo/errs"

	"github.com/figring/figring/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("link")

// ErrTimeout means that no reply arrived in time. The peer may have executed
// the call.
var ErrTimeout = Error.New("no reply in time")

// dialTimeout bounds the time to establish a TCP connection.
const dialTimeout = 400 * time.Millisecond

// Client is a connection to one peer.
type Client struct {
	conn *net.TCPConn
	rpc  *rpc.Client
}

// Dial connects to a peer and authenticates with the secret.
func Dial(ctx context.Context, address, secret string) (*Client, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	client, err := wire.NewClient(conn, secret)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Client{conn: conn.(*net.TCPConn), rpc: client}, nil
}

// Call sends a request and waits at most timeout for the reply.
func (c *Client) Call(ctx context.Context, method string, args, reply any, timeout time.Duration) error {
	call := c.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		return Error.Wrap(call.Error)
	case <-timer.C:
		return ErrTimeout
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Close resets the connection. Unsent data is discarded, even when a network
// partition keeps it from being delivered.
func (c *Client) Close() {
	_ = c.conn.SetLinger(0)
	_ = c.rpc.Close()
}

// CallOnce makes one call on a new connection and closes the connection.
func CallOnce(ctx context.Context, address, secret, method string, request, reply any, timeout time.Duration) error {
	client, err := Dial(ctx, address, secret)
	if err != nil {
		return err
	}
	defer client.Close()
	return client.Call(ctx, method, request, reply, timeout)
}
