package connguard

import (
	"net"

	"github.com/figring/figring/decision/intake"
)

// tracked is a connection that counts as a client of the guard.
type tracked struct {
	*net.TCPConn
	guard    *Guard
	listener string
	client   intake.Client
	// gaveWay is closed when the client has given way.
	gaveWay chan struct{}
}

// hasGivenWay reports whether the client has given way.
func (t *tracked) hasGivenWay() bool {
	select {
	case <-t.gaveWay:
		return true
	default:
		return false
	}
}

// Close implements net.Conn.
func (t *tracked) Close() error {
	t.guard.leave(t)
	return t.TCPConn.Close()
}
