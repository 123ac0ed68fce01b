// Package joblease decides how long an entry owns its stored jobs, and when
// another entry may take the jobs of one that is gone.
//
// An entry that owns stored jobs renews a row in the platform's table. It starts
// nothing of them later than Limit after it sent its newest successful renewal.
// Another entry that has seen the row unchanged for TakeoverAfter, counted over
// reads that succeeded, revokes it with a write that is conditional on the row's
// version: either that write fails, or the owner can't renew any more and has
// started its last task. While the table is away nobody takes anything over, and
// nothing new starts.
package joblease

import "time"

const (
	// RenewEvery is the interval of renewals.
	RenewEvery = time.Second
	// TTL is the age of the newest renewal beyond which an entry starts
	// nothing of its stored jobs.
	TTL = 4 * time.Second
	// TakeoverAfter is how long a row must have been unchanged. It is longer
	// than Limit by what a start may take on its way.
	TakeoverAfter = 6 * time.Second
	// maxReadGap is the longest time between two reads that count as one span.
	maxReadGap = 3 * time.Second
)
