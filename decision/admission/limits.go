package admission

import "time"

const (
	// DefaultQueuedTasks bounds the tasks waiting in one entry.
	DefaultQueuedTasks = 20_000
	// DefaultMaxTimeout bounds a job's timeout.
	DefaultMaxTimeout = 5 * time.Minute
	// pressurePercent is the fill, in percent of the bound, up to which one
	// caller may use the queue alone.
	pressurePercent = 50
	// delayPerTask is how far each remaining task moves a job back within its
	// caller's jobs.
	delayPerTask = 10 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the advice when to come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// unknownRetryAfter is the advice while no rate is known.
	unknownRetryAfter = 1 * time.Second
)
