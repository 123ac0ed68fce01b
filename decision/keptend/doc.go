// Package keptend decides what an entry answers a sidecar about the ends that it keeps for
// entries that may ask for them: which it may let go of at once, which only after a lapse of
// its minion's lease, and which it has to keep.
//
// An end may be let go of only as what it was, the end of one run, known to the entry that
// owns the job now. It is designed for some ends a second at a sidecar; one that has lost
// its entry keeps a few hundred.
package keptend
