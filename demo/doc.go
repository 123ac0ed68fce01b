// Package demo runs a whole system in one process on loopback addresses: a
// platform in memory, entries, sidecars, and stand-in minions. Nothing that it
// keeps outlives the process.
package demo
