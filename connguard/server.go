package connguard

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/figring/figring/decision/intake"
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// flushTimeout bounds the time for writing what is left of an answer when its handler has
// returned.
const flushTimeout = 10 * time.Second

// Attach prepares a server that serves a listener of a guard.
func Attach(server *http.Server) {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if guarded, ok := conn.(*httpConn); ok && state == http.StateIdle {
			guarded.endAnswer()
		}
	}
}

// connOf returns the guarded connection of a request, or nil if it has none.
func connOf(r *http.Request) *httpConn {
	conn, _ := r.Context().Value(connKey{}).(*httpConn)
	return conn
}

// Handler returns a handler that keeps a connection from the arrival of a whole request
// until its answer is sent. A request whose connection has given way does not reach next.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := connOf(r)
		if conn == nil {
			next.ServeHTTP(w, r)
			return
		}
		phase := intake.Body
		if r.ContentLength == 0 {
			phase = intake.Serving
		}
		serve(conn, phase, next, w, r)
	})
}

func serve(conn *httpConn, phase intake.Phase, next http.Handler, w http.ResponseWriter, r *http.Request) {
	entered := conn.guard.enter(conn.tracked, phase)
	conn.endHeader(r)
	defer conn.endRequest()
	if !entered {
		writeNoRoom(w)
		return
	}
	next.ServeHTTP(w, r)
	if phase != intake.Answering {
		// The server flushes a small answer only now. The connection is kept until it has
		// done so, but no longer than a client may take to read.
		_ = conn.SetWriteDeadline(time.Now().Add(flushTimeout))
	}
}
