// Package interference finds pairs of kinds of tasks that slow each other down when they
// run on one minion. A sidecar measures how the run times of a kind differ between the
// presence and the absence of each other kind; an entry adds up the evidence of all its
// sidecars and decides which pairs count as interfering. Differences are taken on each
// minion by itself, so that a slow minion can't look like a slow pair.
//
// The package addresses pairs that slow a task down by some tens of percent, under declared
// run times that are off by 40 %. It is meant for up to 16 kinds on a minion with about ten
// runs at a time and some tens of ends a second, and for up to about a hundred sidecars.
package interference
