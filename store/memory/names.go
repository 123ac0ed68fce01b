package memory

import (
	"slices"
	"strings"
)

// names is a set of strings in ascending order.
type names struct {
	sorted []string
}

func (n *names) add(name string) {
	at, found := slices.BinarySearch(n.sorted, name)
	if !found {
		n.sorted = slices.Insert(n.sorted, at, name)
	}
}

func (n *names) remove(name string) {
	at, found := slices.BinarySearch(n.sorted, name)
	if found {
		n.sorted = slices.Delete(n.sorted, at, at+1)
	}
}

// page returns at most limit names that have the prefix and are not less than
// from, and the name that follows them, or "".
func (n *names) page(prefix, from string, limit int) (page []string, next string) {
	at, _ := slices.BinarySearch(n.sorted, max(prefix, from))
	for _, name := range n.sorted[at:] {
		if !strings.HasPrefix(name, prefix) {
			return page, ""
		}
		if len(page) == limit {
			return page, name
		}
		page = append(page, name)
	}
	return page, ""
}
