package bundle

import (
	"slices"

	"github.com/figring/figring/model"
)

// RemoveCaller removes a caller, which may then no longer submit work.
type RemoveCaller struct {
	Name string
}

// Emergency implements Edit.
func (e RemoveCaller) Emergency() bool { return false }

// TakesOutOfService implements Edit.
func (e RemoveCaller) TakesOutOfService() bool { return false }

func (e RemoveCaller) apply(b *model.Bundle) {
	b.Callers = slices.DeleteFunc(b.Callers, func(caller model.Caller) bool { return caller.Name == e.Name })
}

func (e RemoveCaller) check(Rules) error {
	return checkName("name", e.Name)
}
