package rollout

import "time"

// ChangeResult answers a change that is in the store.
type ChangeResult struct {
	// Version is the version in force after the change.
	Version int64 `json:"version"`
	// Changed is false when the bundle in force was already as wanted.
	Changed bool `json:"changed"`
	// InForceBy is the time from which nothing rests on an older version.
	InForceBy time.Time `json:"inForceBy"`
	// Attempt names the write in the history; empty when nothing was written.
	Attempt string `json:"attempt,omitempty"`
}
