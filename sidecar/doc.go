// Package sidecar implements the process that runs next to one minion and is the
// only one that starts tasks there. A single goroutine, the event loop, owns the
// state: the gate that decides which tasks start (package startgate) and the
// permits. All other goroutines send it typed messages over a bounded channel:
// calls from entries, announcements of the minion, ends of running tasks and
// renewals of permits.
package sidecar
