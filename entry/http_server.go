package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the time to read a whole request.
	bodyTimeout = 30 * time.Second
	// idleTimeout bounds the time between two requests on a connection.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 16 << 10
)

// httpServer is an HTTP server on one listener, with timeouts and a limit on
// header size.
type httpServer struct {
	listener net.Listener
	server   *http.Server
}

func newHTTPServer(listen string, handler http.Handler, tlsConfig *tls.Config) (*httpServer, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errListen.Wrap(err)
	}
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	return &httpServer{
		listener: listener,
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       bodyTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
	}, nil
}

func (s *httpServer) address() string { return s.listener.Addr().String() }

func (s *httpServer) serve() { _ = s.server.Serve(s.listener) }

// shutdown stops accepting requests and waits for those in progress until ctx
// ends.
func (s *httpServer) shutdown(ctx context.Context) { _ = s.server.Shutdown(ctx) }

func (s *httpServer) close() {
	_ = s.server.Close()
	_ = s.listener.Close()
}
