package command

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"
)

// signalContext returns a context that is cancelled on SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// newLogger returns a logger that writes JSON lines to the error stream.
func newLogger(streams *IO) *log.Logger {
	return &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: streams.Err}}
}

// listen opens a TCP listener and logs its address, which tells the chosen port if
// the configured one is 0. Failure to listen at the address is a usage error.
func listen(logger *log.Logger, role, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &exitError{code: ExitUsage, err: err}
	}
	logger.Info().Str("role", role).Str("address", listener.Addr().String()).Msg("listening")
	return listener, nil
}
