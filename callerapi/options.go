package callerapi

import (
	"time"
)

// maxWait bounds how long one call may hold for the end of a job.
const maxWait = 5 * time.Minute

// waitMargin is added to a job's timeout before the interface itself gives up.
const waitMargin = 10 * time.Second

// Options configures the interface.
type Options struct {
	Jobs JobService
	// Authenticate returns the caller that a bearer token belongs to.
	Authenticate func(token string) (caller string, ok bool)
	// Draining reports whether connections should be closed after an answer,
	// so that the balancer's next request goes elsewhere.
	Draining func() bool
	// Observe is called with each answered request's caller, class and time.
	Observe func(Observation)
	// MaxBodyBytes bounds a body; 0 means api.MaxBodyBytes.
	MaxBodyBytes int64
}

// Observation describes an answered request for the metrics.
type Observation struct {
	Caller string
	// Class is the class of the first task; empty when the body was refused.
	Class string
	// Code is the refusal's or failure's code; empty for a complete answer.
	Code    string
	Elapsed time.Duration
}
