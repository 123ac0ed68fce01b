package rollout

import (
	"time"

	"github.com/figring/figring/model"
)

// HistoryEntry is the audit record of one accepted version. It is written in
// the transaction that puts the version in force, and never changed.
type HistoryEntry struct {
	Version int64 `json:"version"`
	// Attempt identifies the write, so that its writer can tell whether it took effect.
	Attempt  string `json:"attempt"`
	Operator string `json:"operator"`
	// Change is the name of the edit with its value, or "RollOut".
	Change string `json:"change"`
	// Proposal is the identifier of the proposal that was rolled out. It is empty for
	// an edit.
	Proposal string `json:"proposal,omitempty"`
	// At is the wall-clock time of the editor just before the write.
	At     time.Time    `json:"at"`
	Bundle model.Bundle `json:"bundle"`
}
