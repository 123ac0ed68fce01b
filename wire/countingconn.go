package wire

import "net"

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.traffic.read.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.traffic.written.Inc(int64(n))
	return n, err
}
