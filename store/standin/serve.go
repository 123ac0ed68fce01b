package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// The limits of a connection and the timeout of the graceful shutdown.
const (
	headerTimeout   = 5 * time.Second
	readTimeout     = 30 * time.Second
	idleTimeout     = 2 * time.Minute
	shutdownTimeout = 2 * time.Second
	maxHeaderBytes  = 16 << 10
)

// Serve serves handler at listener until ctx is done. It then gives requests in
// progress shutdownTimeout to finish, closes the connections of the remaining ones,
// and returns nil.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stopped := make(chan struct{})
	cancelStop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutDown(server)
	})
	err := server.Serve(listener)
	if cancelStop() {
		return err
	}
	<-stopped
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func shutDown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
