// Package httproute lets an http.ServeMux answer requests without a route in the form of
// the interface that it serves.
package httproute

import (
	"net/http"
	"path"
)

// allowHeader names the methods of a path in a reply of status 405.
const allowHeader = "Allow"

// Handler serves the routes of mux. It passes a request without a route to unmatched,
// with the status that mux would reply: 404, or 405 if the path has other methods. It
// redirects no request: a path that is not in its shortest form has no route.
func Handler(mux *http.ServeMux, unmatched func(w http.ResponseWriter, r *http.Request, status int)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if path.Clean(r.URL.Path) != r.URL.Path {
			unmatched(w, r, http.StatusNotFound)
			return
		}
		handler, pattern := mux.Handler(r)
		if pattern != "" {
			mux.ServeHTTP(w, r)
			return
		}
		reply := discardedReply{header: make(http.Header)}
		handler.ServeHTTP(&reply, r)
		if allowed := reply.header.Get(allowHeader); allowed != "" {
			w.Header().Set(allowHeader, allowed)
		}
		unmatched(w, r, reply.status)
	})
}

// discardedReply records the status and headers of a reply whose body is not sent.
type discardedReply struct {
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (d *discardedReply) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discardedReply) Write(body []byte) (int, error) { return len(body), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardedReply) WriteHeader(status int) { d.status = status }
