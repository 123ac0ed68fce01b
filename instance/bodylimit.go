package instance

import "sync/atomic"

// bodyLimit compares the size in bytes of the largest body that the manifest allows with
// what the bodies of all clients together may take. A body beyond that is always refused.
type bodyLimit struct {
	budget int64
	// exceeded is true while the manifest's limit exceeds the budget.
	exceeded atomic.Bool
}

// newlyExceeded reports whether the limit exceeds the budget and the one before did not.
func (b *bodyLimit) newlyExceeded(limit int64) bool {
	exceeded := limit > b.budget
	return !b.exceeded.Swap(exceeded) && exceeded
}
