package wire

import (
	"net"
	"net/rpc"

	msgpackrpc "github.com/hashicorp/net-rpc-msgpackrpc/v2"
)

// NewClient performs the handshake on an open connection and returns an RPC client
// that owns the connection. It closes the connection if the handshake fails.
func NewClient(conn net.Conn, secret string) (*rpc.Client, error) {
	if err := clientHandshake(conn, secret); err != nil {
		_ = conn.Close()
		return nil, err
	}
	codec := trackingCodec{ClientCodec: msgpackrpc.NewCodecFromHandle(true, true, conn, msgpackHandle), conn: conn}
	return rpc.NewClientWithCodec(codec), nil
}

// authenticated is a connection that is told when the other side has proved that it knows
// the secret.
type authenticated interface{ Authenticated() }

// ServeConn performs the handshake on an accepted connection, serves receiver on it
// until the connection ends, and closes it. Each connection has its own receiver.
func ServeConn(conn net.Conn, secret, name string, receiver any) error {
	defer func() { _ = conn.Close() }()
	if err := serverHandshake(conn, secret); err != nil {
		return err
	}
	if told, ok := conn.(authenticated); ok {
		told.Authenticated()
	}
	server := rpc.NewServer()
	if err := server.RegisterName(name, receiver); err != nil {
		return err
	}
	server.ServeCodec(msgpackrpc.NewCodecFromHandle(true, true, conn, msgpackHandle))
	return nil
}
