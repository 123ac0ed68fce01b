package bundle

import "github.com/figring/figring/model"

// SetLimits replaces the limits that apply to all callers.
type SetLimits struct {
	Limits model.Limits
}

// Emergency implements Edit.
func (e SetLimits) Emergency() bool { return false }

// TakesOutOfService implements Edit.
func (e SetLimits) TakesOutOfService() bool { return false }

func (e SetLimits) apply(b *model.Bundle) {
	b.Limits = e.Limits
}

func (e SetLimits) check(Rules) error {
	return checkFields("limits", e.Limits)
}
