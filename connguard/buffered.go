package connguard

import (
	"bytes"
	"maps"
	"net/http"

	"github.com/figring/figring/decision/intake"
)

// Buffered returns a handler for answers that are large and cost nothing when they are
// lost, such as metrics. next runs for one request at a time, and the connection may be
// closed in favour of others at any time.
func (g *Guard) Buffered(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := connOf(r)
		if conn == nil {
			next.ServeHTTP(w, r)
			return
		}
		serve(conn, intake.Answering, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			g.writeBuffered(conn, next, w, r)
		}), w, r)
	})
}

func (g *Guard) writeBuffered(conn *httpConn, next http.Handler, w http.ResponseWriter, r *http.Request) {
	answer, err := g.render(conn, next, r)
	if err != nil {
		writeNoRoom(w)
		return
	}
	defer g.release(conn.tracked, int64(answer.body.Cap()))
	maps.Copy(w.Header(), answer.header)
	w.WriteHeader(answer.status)
	// An error means that the client has gone or given way.
	_, _ = w.Write(answer.body.Bytes())
}

// render runs next and counts the memory of its answer. A client that gives way must not
// wait for its turn, since the one whose turn it is may wait for its memory.
func (g *Guard) render(conn *httpConn, next http.Handler, r *http.Request) (*answer, error) {
	select {
	case g.rendering <- struct{}{}:
	case <-conn.gaveWay:
		return nil, ErrClosed
	}
	defer func() { <-g.rendering }()
	if !g.enter(conn.tracked, intake.Answering) {
		return nil, ErrClosed
	}
	rendered := &answer{header: make(http.Header), status: http.StatusOK}
	next.ServeHTTP(rendered, r)
	return rendered, g.grow(conn.tracked, int64(rendered.body.Cap()))
}

// answer is a response that is not yet sent.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *answer) Write(content []byte) (int, error) { return a.body.Write(content) }
