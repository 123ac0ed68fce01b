// Package session defines the messages between an entry and the sidecars that
// run tasks for it under leases, and between entries. Package session/link
// carries them.
//
// An entry keeps one connection to each of its sidecars and one open Poll call
// on it. A sidecar puts a timestamp of its own clock into each reply to Hello
// and Poll, and the entry echoes the newest one in every later request of the
// session. The age of the echoed timestamp bounds the age of a message, no
// matter where the message was delayed.
package session
