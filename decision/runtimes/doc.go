// Package runtimes estimates how long a task takes on a minion, as a multiple of the run
// time that its caller declared. Sidecars measure the ratio of measured to declared run
// time by route. Entries combine what the sidecars report: the estimate for a minion and
// a route rests on its runs of that route as far as there are enough of them, then on its
// other runs, then on the minions of its kind, and is 1 without any of them.
//
// The package addresses minions whose speed differs by a factor of about two, or changes
// within seconds, under declared run times that are off by 40 % and tasks of which a few
// take seven times as long. It is meant for up to about a hundred minions, each with a
// handful of routes and up to a hundred ends a second.
package runtimes
