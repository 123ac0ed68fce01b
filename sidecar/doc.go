// Package sidecar is the role beside one minion, and the only process that
// starts tasks there. One goroutine owns the start authority (package
// startgate) and the permits; every other duty sends it typed messages over a
// bounded channel: the calls of entries, the minion's announcements, the ends
// of running tasks and the renewals of permits.
package sidecar
