// Package protocol holds the messages of the HTTP protocol that package
// standin serves and package remote speaks. The protocol is described in
// package standin.
package protocol
