// Package dedup decides whether a submitted job is new. It keeps the job keys of
// the partitions that an entry owns. It does no I/O, takes no lock and reads no
// clock. One goroutine owns a Table.
//
// Its main invariant is that Submit never returns New for a key whose claim may
// exist. Therefore a claim whose write has an unknown outcome stays in state
// Claiming until it is proved written or not written, a partition accepts no
// submission before its claims are loaded, and a key that may have been removed
// because of its age is refused even if the wall clock is set back.
package dedup
