package bundle

import "github.com/figring/figring/model"

// DrainEntry makes an entry hand over its partitions to other entries.
type DrainEntry struct {
	Entry string
}

// Emergency implements Edit.
func (e DrainEntry) Emergency() bool { return true }

// TakesOutOfService implements Edit.
func (e DrainEntry) TakesOutOfService() bool { return true }

func (e DrainEntry) apply(b *model.Bundle) {
	b.DrainedEntries = addName(b.DrainedEntries, e.Entry)
}

func (e DrainEntry) check(Rules) error {
	return checkName("entry", e.Entry)
}
