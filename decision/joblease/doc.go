// Package joblease implements the lease under which an entry owns its stored jobs.
// It decides how long an entry owns them and when another entry may take over the
// jobs of an entry that is gone.
//
// An entry that owns stored jobs renews a row in the platform's table. It starts no
// task of these jobs later than TTL after it sent its newest successful renewal.
// Another entry that has seen the row unchanged for more than TakeoverAfter, counted
// over successful reads, revokes the row with a write that is conditional on the
// row's version. Either that write fails, or the owner can't renew any more and has
// started its last task. While the table is unavailable, no entry takes over jobs
// and no new task starts.
package joblease

import "time"

const (
	// RenewEvery is the interval between renewals.
	RenewEvery = time.Second
	// TTL is how long a successful renewal keeps the lease valid, counted from when
	// the renewal was sent.
	TTL = 4 * time.Second
	// TakeoverAfter is how long a row must have been unchanged before another entry
	// may revoke it. It exceeds TTL by the time for which the start of a task may be
	// in transit.
	TakeoverAfter = 6 * time.Second
	// maxReadGap is the longest time between two reads over which a row counts as
	// continuously observed.
	maxReadGap = 3 * time.Second
)
