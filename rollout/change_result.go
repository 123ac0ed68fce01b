package rollout

import "time"

// ChangeResult is the result of a change that was accepted, or that was not needed.
type ChangeResult struct {
	// Version is the version in force after the change.
	Version int64 `json:"version"`
	// Changed is false if the bundle in force already had the requested content.
	Changed bool `json:"changed"`
	// InForceBy is the time from which no process acts on an older version.
	InForceBy time.Time `json:"inForceBy"`
	// Attempt identifies the write in the history. It is empty if nothing was written.
	Attempt string `json:"attempt,omitempty"`
}
