// Package e2e holds the tests that run figring as separate processes on the
// loopback: the binary's own roles beside the stand-ins of the platform and of
// the minions. The judge is always the minions' ledger of starts together with
// what the callers were answered, never figring's own counters.
package e2e
