package minion

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener immediately closes connections accepted while limit
// connections are open. It counts them in overruns.
type limitedListener struct {
	net.Listener
	limit    int64
	open     atomic.Int64
	overruns *atomic.Int64
	peak     *atomic.Int64
}

// Accept implements net.Listener. Only one goroutine may call it.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Load() >= l.limit {
			l.overruns.Add(1)
			_ = conn.Close()
			continue
		}
		open := l.open.Add(1)
		l.peak.Store(max(l.peak.Load(), open))
		return &limitedConn{Conn: conn, open: &l.open}, nil
	}
}

// limitedConn is a connection that counts towards the limit of a limitedListener
// until it is closed.
type limitedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
