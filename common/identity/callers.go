package identity

import (
	"sync/atomic"

	"github.com/figring/figring/model"
)

// Callers authenticates callers by the token hashes in the bundle in force. It is
// safe for concurrent use.
type Callers struct {
	current atomic.Pointer[callerIndex]
}

type callerIndex struct {
	version int64
	byToken tokenIndex[model.Caller]
}

// NewCallers returns the callers of a bundle. Update switches to a newer bundle.
func NewCallers(bundle model.Bundle) *Callers {
	callers := &Callers{}
	callers.current.Store(indexCallers(bundle))
	return callers
}

// Update rebuilds the index for a newer bundle. It ignores a bundle that is not
// newer, so that a delayed update can't restore a removed token.
func (c *Callers) Update(bundle model.Bundle) {
	next := indexCallers(bundle)
	for {
		current := c.current.Load()
		if next.version <= current.version {
			return
		}
		if c.current.CompareAndSwap(current, next) {
			return
		}
	}
}

// Authenticate returns the caller that the token belongs to.
func (c *Callers) Authenticate(token string) (model.Caller, bool) {
	return c.current.Load().byToken.find(token)
}

func indexCallers(bundle model.Bundle) *callerIndex {
	newIndex := &callerIndex{version: bundle.Version, byToken: make(tokenIndex[model.Caller], len(bundle.Callers))}
	for _, caller := range bundle.Callers {
		newIndex.byToken.add(caller.TokenHash, caller)
	}
	return newIndex
}
