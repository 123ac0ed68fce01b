package classload

// Change is a change of a service's state, for the log.
type Change struct {
	Service string
	Kind    ChangeKind
}

// ChangeKind is the kind of a Change.
type ChangeKind int

const (
	// Scarce means that the work offered exceeds the usable capacity.
	Scarce ChangeKind = iota + 1
	// Ample means that it no longer does.
	Ample
	// FallbackBegan means that no sidecar tells the demand, which is estimated from
	// the entry's own.
	FallbackBegan
	// FallbackEnded means that sidecars tell the demand again.
	FallbackEnded
)

func scarcityChange(scarce bool) ChangeKind {
	if scarce {
		return Scarce
	}
	return Ample
}

func fallbackChange(fallback bool) ChangeKind {
	if fallback {
		return FallbackBegan
	}
	return FallbackEnded
}

// TakeChanges returns the changes since the last call.
func (t *Tracker) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}
