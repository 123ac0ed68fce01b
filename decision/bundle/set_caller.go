package bundle

import "github.com/figring/figring/model"

// SetCaller adds a caller or replaces the one of the same name. If its token hash
// is empty, an existing caller keeps its token.
type SetCaller struct {
	Caller model.Caller
}

// Emergency implements Edit.
func (e SetCaller) Emergency() bool { return false }

// TakesOutOfService implements Edit.
func (e SetCaller) TakesOutOfService() bool { return false }

func (e SetCaller) apply(b *model.Bundle) {
	for i := range b.Callers {
		if b.Callers[i].Name != e.Caller.Name {
			continue
		}
		b.Callers[i] = keepToken(e.Caller, b.Callers[i])
		return
	}
	b.Callers = append(b.Callers, e.Caller)
}

func keepToken(next, previous model.Caller) model.Caller {
	if next.TokenHash == "" {
		next.TokenHash = previous.TokenHash
	}
	return next
}

func (e SetCaller) check(Rules) error {
	return checkFields("caller", e.Caller)
}
