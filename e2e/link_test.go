package e2e

import (
	"bytes"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// linkBuffer is the size of one forwarded chunk, in bytes.
const linkBuffer = 16 << 10

// link forwards TCP connections to a target and can disturb them. A connection
// is known by the first of the names that its client sends.
type link struct {
	address  string
	target   string
	names    []string
	listener net.Listener

	mu    sync.Mutex
	conns map[*linkConn]struct{}
	// cut refuses new connections.
	cut bool
	// frozen holds the bytes of all connections, or of those by name.
	frozen   map[string]bool
	changed  chan struct{}
	delay    time.Duration
	truncate int
	// truncated counts the replies that were cut short.
	truncated int
}

// linkConn is one forwarded connection.
type linkConn struct {
	client net.Conn
	server net.Conn

	mu   sync.Mutex
	name string
}

// newLink forwards to target; names tell the clients apart.
func newLink(t testing.TB, target string, names ...string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", freeAddress(t))
	must.NoError(t, err)
	l := &link{
		address:  listener.Addr().String(),
		target:   target,
		names:    names,
		listener: listener,
		conns:    make(map[*linkConn]struct{}),
		frozen:   make(map[string]bool),
		changed:  make(chan struct{}),
	}
	go l.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		l.heal()
		l.sever()
	})
	return l
}

func (l *link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.open(client)
	}
}

func (l *link) open(client net.Conn) {
	if l.isCut() {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = client.Close()
		return
	}
	conn := &linkConn{client: client, server: server}
	l.mu.Lock()
	l.conns[conn] = struct{}{}
	l.mu.Unlock()
	go l.forward(conn, client, server, true)
	go l.forward(conn, server, client, false)
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *link) forward(conn *linkConn, from, to net.Conn, request bool) {
	defer l.drop(conn)
	buffer := make([]byte, linkBuffer)
	for {
		count, err := from.Read(buffer)
		if count > 0 && !l.pass(conn, to, buffer[:count], request) {
			return
		}
		if err != nil {
			return
		}
	}
}

// pass forwards one chunk; false means that the connection is to be closed.
func (l *link) pass(conn *linkConn, to net.Conn, chunk []byte, request bool) bool {
	if request {
		conn.note(chunk, l.names)
	}
	l.await(conn)
	delay, short := l.disturbance(request)
	time.Sleep(delay)
	if short {
		_, _ = to.Write(chunk[:len(chunk)/2])
		return false
	}
	_, err := to.Write(chunk)
	return err == nil
}

// note learns the client's name from what it sends.
func (c *linkConn) note(chunk []byte, names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		if c.name == "" && bytes.Contains(chunk, []byte(name+".")) {
			c.name = name
		}
	}
}

func (c *linkConn) clientName() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.name
}

// await waits until the connection is not frozen.
func (l *link) await(conn *linkConn) {
	for {
		l.mu.Lock()
		held := l.frozen[""] || l.frozen[conn.clientName()]
		changed := l.changed
		l.mu.Unlock()
		if !held {
			return
		}
		<-changed
	}
}

func (l *link) disturbance(request bool) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if request {
		return 0, false
	}
	short := l.truncate > 0
	if short {
		l.truncate--
		l.truncated++
	}
	return l.delay, short
}

func (l *link) drop(conn *linkConn) {
	_ = conn.client.Close()
	_ = conn.server.Close()
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
}

// freeze holds the bytes of every connection, or only of that client.
func (l *link) freeze(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen[name] = true
}

// heal ends every disturbance; held bytes arrive now.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.frozen)
	l.cut = false
	l.delay = 0
	l.truncate = 0
	close(l.changed)
	l.changed = make(chan struct{})
}

// refuse closes every connection and takes no new ones.
func (l *link) refuse() {
	l.mu.Lock()
	l.cut = true
	l.mu.Unlock()
	l.sever()
}

// sever closes every connection; new ones are taken.
func (l *link) sever() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.client.Close()
		_ = conn.server.Close()
	}
}

// delayReplies holds each chunk of a reply back for that time.
func (l *link) delayReplies(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// truncateReplies cuts the next chunks of replies in the middle, and their
// connections with them.
func (l *link) truncateReplies(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.truncate = count
}

// truncatedReplies counts the replies that were cut short.
func (l *link) truncatedReplies() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.truncated
}
