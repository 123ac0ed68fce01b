// Package demo runs a complete figring system in one process on loopback
// addresses: an in-memory platform (table and object store), entries, sidecars
// and stand-in minions. All state is lost when the process ends.
package demo
