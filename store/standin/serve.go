package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// The bounds of a connection, and of the graceful stop.
const (
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	stopTimeout   = 2 * time.Second
	maxHeader     = 16 << 10
)

// Serve serves handler at listener until ctx ends. It then lets open requests
// finish for a short time, cuts the others off, and returns nil.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	stopped := make(chan struct{})
	release := context.AfterFunc(ctx, func() {
		defer close(stopped)
		stop(server)
	})
	err := server.Serve(listener)
	if release() {
		return err
	}
	<-stopped
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func stop(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
