package bundle

import "github.com/figring/figring/model"

// DrainTarget stops new tasks from being sent to a sidecar.
type DrainTarget struct {
	Target string
}

// Emergency implements Edit.
func (e DrainTarget) Emergency() bool { return true }

// TakesOutOfService implements Edit.
func (e DrainTarget) TakesOutOfService() bool { return true }

func (e DrainTarget) apply(b *model.Bundle) {
	b.DrainedTargets = addName(b.DrainedTargets, e.Target)
}

func (e DrainTarget) check(Rules) error {
	return checkName("target", e.Target)
}
