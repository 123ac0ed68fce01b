package request

import (
	"time"

	"github.com/figring/figring/model"
)

// Budget limits retries and hedges. retry.Budget implements it.
type Budget interface {
	// Retry reports whether one more retry or hedge is allowed and, if so,
	// counts it.
	Retry(now time.Time) bool
}

// Config is the configuration of a Request.
type Config struct {
	Key model.JobKey
	// Deadline is the time at which the request fails unless it has ended.
	Deadline time.Time
	// MaxAttempts is the maximum number of dispatches.
	MaxAttempts int
	// MaxRuns is the maximum number of dispatches that may have been run, that
	// is, that are not proved not to have started.
	MaxRuns int
	Budget  Budget
}
