package identity

import (
	"sync/atomic"

	"github.com/figring/figring/model"
)

// Callers tells callers by the tokens of the bundle in force.
type Callers struct {
	current atomic.Pointer[callerIndex]
}

type callerIndex struct {
	version int64
	byToken index[model.Caller]
}

// NewCallers returns the callers of a bundle. Update takes in later ones.
func NewCallers(bundle model.Bundle) *Callers {
	callers := &Callers{}
	callers.current.Store(indexCallers(bundle))
	return callers
}

// Update rebuilds the index for a newer bundle and ignores an older one, so
// that an update that was overtaken can't bring a removed token back.
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
	built := &callerIndex{version: bundle.Version, byToken: make(index[model.Caller], len(bundle.Callers))}
	for _, caller := range bundle.Callers {
		built.byToken.add(caller.TokenHash, caller)
	}
	return built
}
