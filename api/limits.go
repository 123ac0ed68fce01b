package api

import "time"

// The limits of the callers' interface.
const (
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 8 << 20
	// MaxPayloadBytes bounds the payload of one task.
	MaxPayloadBytes = 256 << 10
	// MaxClassLength bounds the name of a class, in bytes.
	MaxClassLength = 64
	// DefaultTimeout applies to jobs and requests that set no timeout.
	DefaultTimeout = 30 * time.Second
	// MaxTimeout bounds the timeout that a caller may set. It is shorter than
	// model.Retention, so that a resubmission is still recognised after the job
	// has ended.
	MaxTimeout = 5 * time.Minute
	// MaxDeclaredRun bounds the run time that a caller may declare for a task.
	MaxDeclaredRun = 1 * time.Hour
	// MaxDeclaredSize bounds the memory that a caller may declare, in bytes.
	MaxDeclaredSize = 1 << 44
)
