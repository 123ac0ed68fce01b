package api

import (
	"encoding/json"

	"github.com/figring/figring/model"
)

// SingleRequest is the body of POST /v1/requests.
type SingleRequest struct {
	// Key is optional. With a key, a resubmission is recognised in the same way
	// as that of a job, and the request starts at most once, even when it is
	// idempotent: every submission of the key has to get the same answer.
	Key string `json:"key,omitempty"`
	// Idempotent allows a request without a key to be run again when an attempt
	// failed at a worker, may or may not have run, or is late.
	Idempotent    bool            `json:"idempotent,omitempty"`
	TimeoutMs     int64           `json:"timeoutMs,omitempty"`
	Class         string          `json:"class"`
	Payload       json.RawMessage `json:"payload,omitempty"`
	DeclaredRunMs int64           `json:"declaredRunMs,omitempty"`
	DeclaredSize  int64           `json:"declaredSizeBytes,omitempty"`
}

// Job returns the request as a job of one task. A request without a key gets a
// new one.
func (r *SingleRequest) Job(caller string) JobRequest {
	key := r.Key
	if key == "" {
		key = model.NewJobKey(caller).ID.String()
	}
	task := TaskRequest{
		Class:         r.Class,
		Payload:       r.Payload,
		DeclaredRunMs: r.DeclaredRunMs,
		DeclaredSize:  r.DeclaredSize,
	}
	return JobRequest{Key: key, Idempotent: r.Idempotent, TimeoutMs: r.TimeoutMs, Tasks: []TaskRequest{task}}
}
