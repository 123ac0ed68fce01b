package request

import (
	"time"

	"github.com/figring/figring/model"
)

// Budget allows repetitions; retry.Budget is one.
type Budget interface {
	// Retry counts a repetition and reports true if one more is allowed.
	Retry(now time.Time) bool
}

// Config describes a request.
type Config struct {
	Key model.JobKey
	// Deadline is when the request fails unless it has ended.
	Deadline time.Time
	// MaxAttempts bounds all dispatches.
	MaxAttempts int
	// MaxRuns bounds the dispatches that may have been run.
	MaxRuns int
	Budget  Budget
}
