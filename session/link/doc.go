// Package link carries the messages of package session over net/rpc. It has a
// listener that serves one receiver for each connection, and a client for one
// peer. Each call of the client has its own timeout, because a connection may
// stop delivering data without an error.
package link
