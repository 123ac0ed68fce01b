package rollout

import (
	"time"

	"github.com/google/uuid"

	"github.com/figring/figring/decision/bundle"
)

// EditorOptions configures an Editor.
type EditorOptions struct {
	// Rules contains the existing zones, against which changes are validated.
	Rules bundle.Rules
	// OnChange is called after each accepted change with its version, so that
	// watchers can read at once instead of at their next poll. It must not block.
	OnChange func(version int64)
	// Now and NewID default to time.Now and to UUIDs of version 7. Those sort by
	// time, so proposals are listed in the order of their creation.
	Now   func() time.Time
	NewID func() string
}

func (o EditorOptions) withDefaults() EditorOptions {
	if o.OnChange == nil {
		o.OnChange = func(int64) {}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.NewID == nil {
		o.NewID = newID
	}
	return o
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }
