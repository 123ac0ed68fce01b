package wire

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"io"
	"net"
	"time"
)

// handshakeTimeout bounds the exchange of the preamble on a new connection.
const handshakeTimeout = 2 * time.Second

// handshakeAccepted is the server's answer to a right preamble.
const handshakeAccepted = byte(1)

// preamble returns the fixed-size first bytes of a connection: a protocol name
// with its version, and the SHA-256 of the shared secret. The secret is only
// as private as the connection: across untrusted networks TLS is needed.
func preamble(secret string) []byte {
	digest := sha256.Sum256([]byte("figring/1 " + secret))
	return append([]byte("figring/1\n"), digest[:]...)
}

func clientHandshake(conn net.Conn, secret string) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if _, err := conn.Write(preamble(secret)); err != nil {
		return fmt.Errorf("%w: %v", ErrHandshake, err)
	}
	var answer [1]byte
	if _, err := io.ReadFull(conn, answer[:]); err != nil || answer[0] != handshakeAccepted {
		return fmt.Errorf("%w: no acceptance from %s", ErrHandshake, conn.RemoteAddr())
	}
	return conn.SetDeadline(time.Time{})
}

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
