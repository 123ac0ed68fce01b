package link

import (
	"errors"
	"net"
	"sync"

	"github.com/figring/figring/common/acceptretry"
	"github.com/figring/figring/wire"
)

// Receiver serves the RPC methods of one connection.
type Receiver interface {
	// Closed is called once, after the connection has ended.
	Closed()
}

// Listener accepts connections and serves a separate receiver on each of them.
type Listener struct {
	listener net.Listener
	secret   string
	name     string
	accept   func(net.Conn) Receiver

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	wait   sync.WaitGroup
}

// New returns a listener that accepts the connections of another one. For each
// connection, the methods of the receiver that accept returns are registered as the RPC
// service of the given name. Errors of single connections that could not be accepted are
// passed to onError.
func New(listener net.Listener, secret, name string, accept func(net.Conn) Receiver, onError func(error)) *Listener {
	return &Listener{
		listener: acceptretry.New(listener, onError), secret: secret, name: name, accept: accept,
		conns: make(map[net.Conn]struct{}),
	}
}

// Address returns the address of the listener as "ip:port".
func (l *Listener) Address() string { return l.listener.Addr().String() }

// Serve accepts connections until Close.
func (l *Listener) Serve() error {
	for {
		conn, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return Error.Wrap(err)
		}
		if !l.track(conn) {
			_ = conn.Close()
			continue
		}
		go l.serve(conn)
	}
}

func (l *Listener) serve(conn net.Conn) {
	defer l.wait.Done()
	defer l.untrack(conn)
	receiver := l.accept(conn)
	defer receiver.Closed()
	// An error, as from a peer with a wrong secret or one that disconnects,
	// affects only this connection.
	_ = wire.ServeConn(conn, l.secret, l.name, receiver)
}

func (l *Listener) track(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.conns[conn] = struct{}{}
	l.wait.Add(1)
	return true
}

func (l *Listener) untrack(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// Close closes the listener and all its connections, and waits until their
// receivers are done.
func (l *Listener) Close() {
	l.mu.Lock()
	l.closed = true
	_ = l.listener.Close()
	for conn := range l.conns {
		_ = conn.Close()
	}
	l.mu.Unlock()
	l.wait.Wait()
}
