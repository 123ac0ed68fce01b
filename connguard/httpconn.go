package connguard

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/figring/figring/decision/intake"
)

const (
	// freeHeaderBytes is the size of a header that is not counted. It is part of what a
	// connection may use.
	freeHeaderBytes = 2 << 10
	// headerGrowth is the memory of a parsed header as a multiple of its size, when it
	// consists of many short lines.
	headerGrowth = 16
	// readAhead is what the HTTP server may read beyond a header.
	readAhead = 4 << 10
	// pipelineBuffer is the size in bytes of the kernel's receive buffer for a client that
	// sends a request before it has the answer to the one before.
	pipelineBuffer = 4 << 10
	// headerTooLarge is the answer to a header that is too large.
	headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// httpConn is a connection of an HTTP client.
type httpConn struct {
	*tracked

	// mu guards the fields below: the server reads ahead while a handler runs. headerBytes
	// is what has been read of the current header, and counted the memory that is counted
	// for it.
	// pipelined means that the receive buffer is small until the answer is sent.
	mu          sync.Mutex
	headerBytes int
	counted     int64
	pipelined   bool
}

// Read implements net.Conn. It fails when the header is too large, or when the client has
// to give way.
func (c *httpConn) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	if n == 0 {
		return n, err
	}
	switch c.guard.received(&c.tracked.client) {
	case intake.Header:
		if refused := c.countHeader(n); refused != nil {
			_ = c.TCPConn.Close()
			return 0, io.EOF
		}
	case intake.Serving:
		// The client sends more before it has its answer, which nobody reads until then.
		c.limitReadAhead()
	}
	return n, err
}

// limitReadAhead bounds what the kernel buffers until the answer is sent.
func (c *httpConn) limitReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pipelined = true
	_ = c.SetReadBuffer(pipelineBuffer)
}

// received records that bytes have arrived, and returns the phase of the request to which
// they belong.
func (g *Guard) received(client *intake.Client) intake.Phase {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clients.Received(client)
	if client.Phase() == intake.Idle {
		g.clients.Enter(client, intake.Header, time.Now())
	}
	return client.Phase()
}

// countHeader counts the memory of a header of which n more bytes were read.
func (c *httpConn) countHeader(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerBytes += n
	if c.headerBytes <= freeHeaderBytes {
		return nil
	}
	if c.headerBytes > c.guard.headerLimits().Bytes+readAhead {
		c.guard.observe(HeaderTooLarge, c.listener, c.RemoteAddr().String())
		_, _ = io.WriteString(c.TCPConn, headerTooLarge)
		return errHeaderTooLarge
	}
	more := int64(c.headerBytes-freeHeaderBytes)*headerGrowth - c.counted
	if err := c.guard.grow(c.tracked, more); err != nil {
		return err
	}
	c.counted += more
	return nil
}

// endHeader ends the header of a request. What was counted for it beyond its size, such
// as the beginning of the body, is released.
func (c *httpConn) endHeader(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerBytes = 0
	if c.counted == 0 {
		return
	}
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	needed := min(c.counted, int64(max(0, size-freeHeaderBytes))*headerGrowth)
	c.guard.release(c.tracked, c.counted-needed)
	c.counted = needed
}

// endAnswer prepares the connection for the next request. Handlers that are not wrapped
// have not ended the header and the request before.
func (c *httpConn) endAnswer() {
	c.mu.Lock()
	c.headerBytes = 0
	if c.pipelined {
		c.pipelined = false
		_ = c.SetReadBuffer(receiveBuffer)
	}
	c.mu.Unlock()
	c.endRequest()
	_ = c.SetWriteDeadline(time.Time{})
	c.guard.enter(c.tracked, intake.Idle)
}

// endRequest releases what is still counted for a request whose handler has returned.
func (c *httpConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.release(c.tracked, c.counted)
	c.counted = 0
}
