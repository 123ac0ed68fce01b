package connguard

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// The sizes in bytes that the kernel is asked for as the buffers of an HTTP connection. It
// doubles them. Unread bytes count as memory of the process.
const (
	// sendBuffer holds answers that the client does not read.
	sendBuffer = 64 << 10
	// receiveBuffer holds what the client sends and the process has not read, also before
	// the connection is accepted.
	receiveBuffer = 16 << 10
)

// listener accepts connections as clients of the guard.
type listener struct {
	net.Listener
	guard    *Guard
	name     string
	reserved bool
	wrap     func(*tracked) net.Conn
}

// ListenHTTP opens a listener for HTTP clients. name is its name in events. reserved means
// that it may use the connections that are kept from callers and minions.
func (g *Guard) ListenHTTP(address, name string, reserved bool) (net.Listener, error) {
	return g.listen(net.ListenConfig{Control: limitBuffers}, address, &listener{
		name: name, reserved: reserved, wrap: func(t *tracked) net.Conn { return &httpConn{tracked: t} },
	})
}

// ListenRPC opens a listener for other processes of the system.
func (g *Guard) ListenRPC(address string) (net.Listener, error) {
	return g.listen(net.ListenConfig{}, address, &listener{
		name: "rpc", reserved: true, wrap: func(t *tracked) net.Conn { return rpcConn{t} },
	})
}

func (g *Guard) listen(config net.ListenConfig, address string, created *listener) (net.Listener, error) {
	open, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := limitBacklog(open.(*net.TCPListener), g.limits.Connections); err != nil {
		return nil, Error.Wrap(errors.Join(err, open.Close()))
	}
	created.Listener, created.guard = open, g
	return created, nil
}

// limitBuffers sets the buffers of a listener, which its connections inherit.
func limitBuffers(_, _ string, raw syscall.RawConn) error {
	return control(raw, func(descriptor int) error {
		return errors.Join(
			syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer),
			syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
		)
	})
}

// limitBacklog bounds the connections that wait until they are accepted. The runtime uses
// the system's bound, and more than the guard admits would only be closed.
func limitBacklog(open *net.TCPListener, connections int) error {
	raw, err := open.SyscallConn()
	if err != nil {
		return err
	}
	return control(raw, func(descriptor int) error { return syscall.Listen(descriptor, connections) })
}

// control calls set with the descriptor of a socket.
func control(raw syscall.RawConn, set func(descriptor int) error) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) { failure = set(int(descriptor)) })
	return errors.Join(err, failure)
}

// Accept implements net.Listener. A connection for which no other can be closed is closed
// itself.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		accepted := &tracked{
			TCPConn: conn.(*net.TCPConn), guard: l.guard, listener: l.name, gaveWay: make(chan struct{}),
		}
		if l.guard.join(accepted, l.reserved) {
			return l.wrap(accepted), nil
		}
		_ = conn.Close()
	}
}
