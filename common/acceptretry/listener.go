// Package acceptretry keeps a listener working through errors that pass, such as too
// many open files.
package acceptretry

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

// retryPause is the pause after an error that may pass.
const retryPause = 20 * time.Millisecond

// passing are the errors of accept that say nothing about the listener itself.
var passing = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ECONNABORTED, syscall.EPROTO, syscall.EINTR, syscall.EPERM,
}

// Listener retries Accept after errors that pass.
type Listener struct {
	net.Listener
	onError func(error)
}

// New returns a listener that passes each error after which it tries again to onError.
func New(listener net.Listener, onError func(error)) *Listener {
	return &Listener{Listener: listener, onError: onError}
}

// Accept implements net.Listener. Its errors are final.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !passes(err) {
			return conn, err
		}
		l.onError(err)
		time.Sleep(retryPause)
	}
}

func passes(err error) bool {
	return slices.ContainsFunc(passing, func(one error) bool { return errors.Is(err, one) })
}
