package bundle

import "github.com/figring/figring/model"

// UndrainEntry ends the drain of an entry, which may then own partitions again.
type UndrainEntry struct {
	Entry string
}

// Emergency implements Edit.
func (e UndrainEntry) Emergency() bool { return true }

// TakesOutOfService implements Edit.
func (e UndrainEntry) TakesOutOfService() bool { return false }

func (e UndrainEntry) apply(b *model.Bundle) {
	b.DrainedEntries = removeName(b.DrainedEntries, e.Entry)
}

func (e UndrainEntry) check(Rules) error {
	return checkName("entry", e.Entry)
}
