// Package dedup decides whether a submitted job is new, by the keys of the
// partitions that an entry owns. It is a pure decision: it does no I/O, takes
// no lock and reads no clock. One goroutine owns a Table.
//
// The one rule above all: Submit never answers New for a key whose claim may
// exist. A claim whose write has an unknown outcome stays in state Claiming
// until it is proved written or not written, a partition answers nothing
// before its claims are loaded, and a key that may have been forgotten by age
// is refused even if the wall clock is set back.
package dedup
