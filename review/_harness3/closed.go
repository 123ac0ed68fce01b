package main

import "syscall"

// closedByPeer reports whether the peer has closed or reset a connection. It reads nothing.
func closedByPeer(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) {
		one := make([]byte, 1)
		count, _, err := syscall.Recvfrom(int(fd), one, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = (count == 0 && err == nil) || (err != nil && err != syscall.EAGAIN && err != syscall.EINTR)
	})
	return closed || err != nil
}
