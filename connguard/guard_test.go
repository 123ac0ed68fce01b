package connguard

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/figring/figring/decision/intake"
)

// served is a server that decodes the bodies that it is sent.
type served struct {
	guard   *Guard
	address string
	decoded atomic.Int64
	events  chan Event
	// failures holds the errors of ReadBody.
	failures chan error
}

func newServed(t *testing.T, limits intake.Limits, maxBody int64) *served {
	t.Helper()
	s := &served{events: make(chan Event, 1000), failures: make(chan error, 100)}
	guard := New(Options{Limits: limits, Observe: func(event Event, _, _ string) { s.events <- event }})
	listener, err := guard.ListenHTTP("127.0.0.1:0", "callers", false)
	must.NoError(t, err)
	s.guard, s.address = guard, listener.Addr().String()
	server := &http.Server{Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, maxBody)
		if err != nil {
			s.failures <- err
			WriteRefusal(w, err)
			return
		}
		_ = body.Decode(func([]byte) error { s.decoded.Add(1); return nil })
	}))}
	Attach(server)
	go func() { _ = server.Serve(listener) }()
	go guard.Run(t.Context())
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// post opens a connection and sends the beginning of a body of size bytes.
func (s *served) post(t *testing.T, size, sent int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat(" ", sent))
	return conn
}

func (s *served) awaitEvent(t *testing.T, wanted Event) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		select {
		case event := <-s.events:
			return event == wanted
		default:
			return false
		}
	}), wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond)))
}

// awaitBytes waits until bytes are buffered.
func (s *served) awaitBytes(t *testing.T, bytes int64) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		s.guard.mu.Lock()
		defer s.guard.mu.Unlock()
		return s.guard.clients.Bytes() == bytes
	}), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
}

func status(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	return response
}

// TestBodyWithoutRoomIsRefused guards against a refusal that says nothing of when to come
// again, and against a refused body that is decoded.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	s := newServed(t, intake.Limits{Bytes: 64 << 10, Connections: 16, BodyTimeout: time.Minute}, 1<<20)
	answer := status(t, s.post(t, 100<<10, 100<<10))
	must.EqOp(t, http.StatusServiceUnavailable, answer.StatusCode)
	must.EqOp(t, "1", answer.Header.Get("Retry-After"))
	must.EqOp(t, 0, s.decoded.Load())
	must.EqOp(t, http.StatusOK, status(t, s.post(t, 32<<10, 32<<10)).StatusCode)
}

// TestStalledBodyGivesWay guards against a stalled body that keeps out others, and against
// one whose end arrives after its connection was closed.
func TestStalledBodyGivesWay(t *testing.T) {
	s := newServed(t, intake.Limits{Bytes: 64 << 10, Connections: 16, BodyTimeout: time.Minute}, 1<<20)
	stalled := s.post(t, 60_000, 59_999)
	s.awaitBytes(t, 60_000)
	must.EqOp(t, http.StatusOK, status(t, s.post(t, 50_000, 50_000)).StatusCode)
	s.awaitEvent(t, ClosedForBytes)
	_, _ = stalled.Write([]byte(" "))
	_, err := stalled.Read(make([]byte, 1))
	must.Error(t, err)
	must.EqOp(t, 1, s.decoded.Load())
}

// TestOverdueBodyIsClosed guards against a client that stops and keeps its connection.
func TestOverdueBodyIsClosed(t *testing.T) {
	s := newServed(t, intake.Limits{Bytes: 64 << 10, Connections: 16, BodyTimeout: 50 * time.Millisecond}, 1<<20)
	stalled := s.post(t, 1000, 999)
	s.awaitEvent(t, BodyOverdue)
	_, err := stalled.Read(make([]byte, 1))
	must.Error(t, err)
	must.EqOp(t, 0, s.decoded.Load())
	// The handler must not take the closed connection for a malformed body.
	must.ErrorIs(t, <-s.failures, ErrClosed)
}

// TestLongHeaderIsRefused guards against a header without an end.
func TestLongHeaderIsRefused(t *testing.T) {
	s := newServed(t, intake.Limits{Bytes: 1 << 20, Connections: 16, BodyTimeout: time.Minute}, 1<<20)
	conn := s.post(t, 0, 0)
	must.EqOp(t, http.StatusOK, status(t, conn).StatusCode)
	_, _ = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\nX: %s", strings.Repeat("a", 64<<10))
	s.awaitEvent(t, HeaderTooLarge)
}

// TestNewConnectionReplacesStalest guards against clients that keep idle connections and
// shut others out.
func TestNewConnectionReplacesStalest(t *testing.T) {
	s := newServed(t, intake.Limits{Bytes: 1 << 20, Connections: 16, BodyTimeout: time.Minute}, 1<<20)
	for range 40 {
		must.EqOp(t, http.StatusOK, status(t, s.post(t, 10, 10)).StatusCode)
	}
	s.awaitEvent(t, ClosedForConnection)
}
