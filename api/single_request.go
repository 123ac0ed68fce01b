package api

import (
	"encoding/json"

	"github.com/figring/figring/model"
)

// SingleRequest is the body of POST /v1/requests.
type SingleRequest struct {
	// Key is optional. With a key, a resubmission is recognised as a job's is,
	// and the request starts at most once, also an idempotent one: its answer
	// has to be the same for whoever asks with the key.
	Key string `json:"key,omitempty"`
	// Idempotent allows a request without a key to be run again where an attempt
	// failed at a worker, may have been run, or is late.
	Idempotent    bool            `json:"idempotent,omitempty"`
	TimeoutMs     int64           `json:"timeoutMs,omitempty"`
	Class         string          `json:"class"`
	Payload       json.RawMessage `json:"payload,omitempty"`
	DeclaredRunMs int64           `json:"declaredRunMs,omitempty"`
	DeclaredSize  int64           `json:"declaredSizeBytes,omitempty"`
}

// Job returns the request as a job of one task; keyless work gets a fresh key.
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
