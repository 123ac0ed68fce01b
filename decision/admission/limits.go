package admission

import "time"

const (
	// DefaultQueuedTasks is the default limit on the tasks waiting in one entry.
	DefaultQueuedTasks = 20_000
	// DefaultMaxTimeout is the default limit on a job's timeout.
	DefaultMaxTimeout = 5 * time.Minute
	// fairShareThresholdPercent is the queue length, in percent of its limit, up
	// to which a single caller may use the queue alone. Above it, each caller is
	// limited to its share.
	fairShareThresholdPercent = 50
	// delayPerTask is added to the order key of a job for each remaining task.
	delayPerTask = 10 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// defaultRetryAfter is the Retry-After of a refusal while no drain rate is
	// known.
	defaultRetryAfter = 1 * time.Second
)
