package bundle

import (
	"slices"
	"strings"

	"github.com/figring/figring/model"
)

// normalise returns a deep copy of b with sorted lists and lower-case token
// hashes, so that equal bundles have equal JSON and lookups by token hash match.
func normalise(b model.Bundle) model.Bundle {
	b.ClosedZones = sorted(b.ClosedZones)
	b.DrainedTargets = sorted(b.DrainedTargets)
	b.DrainedEntries = sorted(b.DrainedEntries)
	b.Callers = append([]model.Caller{}, b.Callers...)
	for i := range b.Callers {
		b.Callers[i].TokenHash = strings.ToLower(b.Callers[i].TokenHash)
	}
	slices.SortStableFunc(b.Callers, func(x, y model.Caller) int {
		return strings.Compare(x.Name, y.Name)
	})
	return b
}

// sorted returns a sorted copy of names that is never nil.
func sorted(names []string) []string {
	copied := append([]string{}, names...)
	slices.Sort(copied)
	return copied
}
