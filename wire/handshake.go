package wire

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"io"
	"net"
	"time"
)

// handshakeTimeout bounds the handshake on a new connection.
const handshakeTimeout = 2 * time.Second

// handshakeAccepted is the server's response to a valid preamble.
const handshakeAccepted = byte(1)

// preamble returns the first bytes that a client sends on a connection, which have a
// fixed size: the protocol name with its version, and a SHA-256 digest of that
// version and the shared secret. The preamble is only as confidential as the
// connection, so untrusted networks require TLS.
func preamble(secret string) []byte {
	digest := sha256.Sum256([]byte("figring/1 " + secret))
	return append([]byte("figring/1\n"), digest[:]...)
}

// clientHandshake sends the preamble and waits for its acceptance.
func clientHandshake(conn net.Conn, secret string) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if _, err := conn.Write(preamble(secret)); err != nil {
		return fmt.Errorf("%w: %v", ErrHandshake, err)
	}
	var answer [1]byte
	if _, err := io.ReadFull(conn, answer[:]); err != nil || answer[0] != handshakeAccepted {
		return fmt.Errorf("%w: preamble not accepted by %s", ErrHandshake, conn.RemoteAddr())
	}
	return conn.SetDeadline(time.Time{})
}

// serverHandshake reads the client's preamble and accepts it if it is valid. The
// comparison takes constant time, so that its duration reveals nothing about the
// secret.
func serverHandshake(conn net.Conn, secret string) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	want := preamble(secret)
	got := make([]byte, len(want))
	if _, err := io.ReadFull(conn, got); err != nil {
		return fmt.Errorf("%w: %v", ErrHandshake, err)
	}
	if subtle.ConstantTimeCompare(want, got) != 1 {
		return ErrHandshake
	}
	if _, err := conn.Write([]byte{handshakeAccepted}); err != nil {
		return fmt.Errorf("%w: %v", ErrHandshake, err)
	}
	return conn.SetDeadline(time.Time{})
}
