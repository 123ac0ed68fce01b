// Package link carries the messages of package session over net/rpc: a listener
// that serves one receiver for each connection, and a client for one peer whose
// every call has a timeout of its own, because a connection may go silent
// without an error.
package link
