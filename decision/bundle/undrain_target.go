package bundle

import "github.com/figring/figring/model"

// UndrainTarget ends the drain of a sidecar, which may then get tasks again.
type UndrainTarget struct {
	Target string
}

// Emergency implements Edit.
func (e UndrainTarget) Emergency() bool { return true }

// TakesOutOfService implements Edit.
func (e UndrainTarget) TakesOutOfService() bool { return false }

func (e UndrainTarget) apply(b *model.Bundle) {
	b.DrainedTargets = removeName(b.DrainedTargets, e.Target)
}

func (e UndrainTarget) check(Rules) error {
	return checkName("target", e.Target)
}
