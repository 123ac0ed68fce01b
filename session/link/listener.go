package link

import (
	"errors"
	"net"
	"sync"

	"github.com/figring/figring/wire"
)

// Receiver serves one connection.
type Receiver interface {
	// Closed is called once, when the connection has ended.
	Closed()
}

// Listener serves a receiver of its own for each connection.
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

// Listen opens a listener. The methods of what accept returns are published
// under the name.
func Listen(address, secret, name string, accept func(net.Conn) Receiver) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Listener{
		listener: listener, secret: secret, name: name, accept: accept,
		conns: make(map[net.Conn]struct{}),
	}, nil
}

// Address returns the listener's "ip:port".
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
	// A stranger, or a peer that hangs up, ends its own connection alone.
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

// Close ends the listener and all its connections, and waits for them.
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
