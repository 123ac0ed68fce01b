package bundle

import "github.com/figring/figring/model"

// UndrainEntry lets a drained entry own partitions again.
type UndrainEntry struct {
	Entry string
}

// Emergency implements Edit.
func (e UndrainEntry) Emergency() bool { return true }

// TakesOutOfService implements Edit.
func (e UndrainEntry) TakesOutOfService() bool { return false }

func (e UndrainEntry) apply(b *model.Bundle) {
	b.DrainedEntries = without(b.DrainedEntries, e.Entry)
}

func (e UndrainEntry) check(Rules) error {
	return checkName("entry", e.Entry)
}
