package callerapi

import (
	"time"
)

// maxWait bounds how long one HTTP request may wait for the end of a job.
const maxWait = 5 * time.Minute

// waitMargin is the time beyond a job's timeout, or a requested wait, after which
// the interface ends a call to its JobService.
const waitMargin = 10 * time.Second

// Options configures the interface.
type Options struct {
	Jobs JobService
	// Authenticate returns the caller that a bearer token belongs to.
	Authenticate func(token string) (caller string, ok bool)
	// Draining reports whether connections should be closed after a response,
	// so that the load balancer sends its next request to another entry.
	Draining func() bool
	// Observe is called after each request to a known path, except a successful
	// one for the state of a job. It may be nil.
	Observe func(Observation)
	// MaxBodyBytes bounds the body of a request; 0 means api.MaxBodyBytes.
	MaxBodyBytes int64
}

// Observation describes a request that was responded to, for the metrics.
type Observation struct {
	Caller string
	// Class is the class of the first task. It is empty for a request about an
	// existing job, and when the token or the body was refused.
	Class string
	// Code is the refusal's or failure's code; empty for a complete answer.
	Code    string
	Elapsed time.Duration
}
