// Package protocol defines the messages of the HTTP protocol between package
// remote, the client, and package standin, the server. The documentation of
// package standin describes the protocol.
package protocol
