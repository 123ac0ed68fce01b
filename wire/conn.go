package wire

import (
	"net"
	"net/rpc"

	msgpackrpc "github.com/hashicorp/net-rpc-msgpackrpc/v2"
)

// NewClient greets the peer on an open connection and returns an RPC client
// that owns the connection.
func NewClient(conn net.Conn, secret string) (*rpc.Client, error) {
	if err := clientHandshake(conn, secret); err != nil {
		_ = conn.Close()
		return nil, err
	}
	codec := trackingCodec{ClientCodec: msgpackrpc.NewCodecFromHandle(true, true, conn, msgpackHandle), conn: conn}
	return rpc.NewClientWithCodec(codec), nil
}

// ServeConn admits the peer on an accepted connection and serves the receiver
// on it until it ends. The receiver belongs to this connection alone.
func ServeConn(conn net.Conn, secret, name string, receiver any) error {
	defer func() { _ = conn.Close() }()
	if err := serverHandshake(conn, secret); err != nil {
		return err
	}
	server := rpc.NewServer()
	if err := server.RegisterName(name, receiver); err != nil {
		return err
	}
	server.ServeCodec(msgpackrpc.NewCodecFromHandle(true, true, conn, msgpackHandle))
	return nil
}
