package wire

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	msgpackrpc "github.com/hashicorp/net-rpc-msgpackrpc/v2"
)

// drainPollInterval is the interval at which Drain checks for open calls.
const drainPollInterval = 5 * time.Millisecond

// Server serves net/rpc with MessagePack on connections that present the
// shared secret.
type Server struct {
	rpc    *rpc.Server
	secret string
	tls    *tls.Config

	mu        sync.Mutex
	listener  net.Listener
	conns     map[net.Conn]struct{}
	closed    bool
	connsDone sync.WaitGroup

	// openCalls counts the calls that have been read but not answered.
	openCalls atomic.Int64
}

// NewServer returns a server. A nil tlsConfig means plain TCP.
func NewServer(secret string, tlsConfig *tls.Config) *Server {
	return &Server{
		rpc:    rpc.NewServer(),
		secret: secret,
		tls:    tlsConfig,
		conns:  make(map[net.Conn]struct{}),
	}
}

// Register publishes the methods of receiver under name.
func (s *Server) Register(name string, receiver any) error {
	return s.rpc.RegisterName(name, receiver)
}

// Serve accepts connections on listener until Close is called, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	if s.tls != nil {
		listener = tls.NewListener(listener, s.tls)
	}
	if !s.setListener(listener) {
		return listener.Close()
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return s.acceptError(err)
		}
		if !s.track(conn) {
			_ = conn.Close()
			continue
		}
		go s.serveConn(conn)
	}
}

// setListener stores the listener for Close and reports whether the server is open.
func (s *Server) setListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = listener
	return !s.closed
}

// acceptError returns the error of Serve after a failed Accept, which is nil if the
// server has been closed.
func (s *Server) acceptError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	return err
}

// track records a connection for Close and reports whether the server is open.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.connsDone.Add(1)
	return true
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.connsDone.Done()
	defer s.untrack(conn)
	if serverHandshake(conn, s.secret) != nil {
		return
	}
	s.rpc.ServeCodec(countingCodec{ServerCodec: msgpackrpc.NewCodecFromHandle(true, true, conn, msgpackHandle), openCalls: &s.openCalls})
}

func (s *Server) untrack(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Drain waits until every call that has been read is answered. It does not reject
// new calls; the registered receivers must refuse them. It returns the context's
// error if ctx ends first.
func (s *Server) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.openCalls.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Close stops accepting connections, closes all connections and waits for their
// calls to end. To have open calls answered, call Drain first.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.connsDone.Wait()
}
