package connguard

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/figring/figring/decision/intake"
)

// serveHandler serves a handler behind a guard with 64 KiB, and returns its address.
func serveHandler(t *testing.T, wrap func(*Guard) http.Handler) (*Guard, string) {
	t.Helper()
	guard := New(Options{Limits: intake.Limits{Bytes: 64 << 10, Connections: 16, BodyTimeout: time.Minute}})
	listener, err := guard.ListenHTTP("127.0.0.1:0", "callers", false)
	must.NoError(t, err)
	server := &http.Server{Handler: wrap(guard)}
	Attach(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return guard, listener.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn, bufio.NewReader(conn)
}

// get sends a request with a header of some length.
func get(conn net.Conn, header int) {
	_, _ = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", strings.Repeat("a", header))
}

// TestHeadersOfUnwrappedHandlerDoNotAddUp guards against readiness probes on one connection
// that are answered 431 after some minutes.
func TestHeadersOfUnwrappedHandlerDoNotAddUp(t *testing.T) {
	_, address := serveHandler(t, func(*Guard) http.Handler { return http.NotFoundHandler() })
	conn, reader := dial(t, address)
	for range 30 {
		get(conn, 3<<10)
		answer, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		must.EqOp(t, http.StatusNotFound, answer.StatusCode)
		_, _ = reader.Discard(int(answer.ContentLength))
	}
}

// TestWaitingForRenderingGivesWay guards against a deadlock of the request that is rendered,
// which waits for memory, and the one that holds this memory and waits to be rendered.
func TestWaitingForRenderingGivesWay(t *testing.T) {
	started, proceed := make(chan struct{}, 2), make(chan struct{})
	guard, address := serveHandler(t, func(g *Guard) http.Handler {
		return g.Buffered(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			started <- struct{}{}
			<-proceed
			_, _ = w.Write(make([]byte, 40<<10))
		}))
	})
	rendered, answer := dial(t, address)
	get(rendered, 1)
	<-started
	waiting, _ := dial(t, address)
	get(waiting, 4<<10)
	// The header's size is 4098 bytes.
	(&served{guard: guard}).awaitBytes(t, (4098-freeHeaderBytes)*headerGrowth)
	close(proceed)
	response, err := http.ReadResponse(answer, nil)
	must.NoError(t, err)
	must.EqOp(t, http.StatusOK, response.StatusCode)
}

// readBuffer returns the size in bytes of the receive buffer of a request's connection.
func readBuffer(r *http.Request) int {
	size := 0
	raw, err := connOf(r).SyscallConn()
	if err == nil {
		_ = raw.Control(func(descriptor uintptr) {
			size, _ = syscall.GetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
		})
	}
	return size
}

// TestPipelinedRequestDoesNotSlowDownNext guards against a receive buffer that stays so small
// that a legal body on the same connection takes seconds.
func TestPipelinedRequestDoesNotSlowDownNext(t *testing.T) {
	sizes := make(chan int, 2)
	_, address := serveHandler(t, func(*Guard) http.Handler {
		return Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			sizes <- readBuffer(r)
			for r.Header.Get("X") == "a" && readBuffer(r) > 4*pipelineBuffer {
				time.Sleep(time.Millisecond)
			}
		}))
	})
	conn, reader := dial(t, address)
	get(conn, 1)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return len(sizes) == 1 }), wait.Gap(time.Millisecond)))
	get(conn, 2)
	for range 2 {
		answer, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		must.EqOp(t, http.StatusOK, answer.StatusCode)
	}
	<-sizes
	must.GreaterEq(t, 2*receiveBuffer, <-sizes)
}

// TestAnswerIsSentBeforeClientGivesWay guards against a finished job's answer that is lost
// to a new connection, since the server sends it after the handler's return.
func TestAnswerIsSentBeforeClientGivesWay(t *testing.T) {
	phases, clients := make(chan intake.Phase, 1), make(chan *intake.Client, 1)
	guard, address := serveHandler(t, func(*Guard) http.Handler {
		inner := Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			inner.ServeHTTP(w, r)
			phases <- connOf(r).client.Phase()
			clients <- &connOf(r).client
		})
	})
	conn, reader := dial(t, address)
	get(conn, 1)
	_, err := http.ReadResponse(reader, nil)
	must.NoError(t, err)
	must.EqOp(t, intake.Serving, <-phases)
	client := <-clients
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		guard.mu.Lock()
		defer guard.mu.Unlock()
		return client.Phase() == intake.Idle
	}), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
}

// TestDroppedBodyCompletesRequest guards against a request whose body nobody needs and that
// is closed or counts as overdue while it is served.
func TestDroppedBodyCompletesRequest(t *testing.T) {
	phases := make(chan intake.Phase, 1)
	_, address := serveHandler(t, func(*Guard) http.Handler {
		return Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = DropBody(w, r, 10)
			phases <- connOf(r).client.Phase()
		}))
	})
	conn, _ := dial(t, address)
	_, _ = fmt.Fprint(conn, "DELETE / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}")
	must.EqOp(t, intake.Serving, <-phases)
}
