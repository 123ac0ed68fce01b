package session

import (
	"slices"

	"github.com/figring/figring/work"
)

// Minion describes one incarnation of a minion.
type Minion struct {
	ID      string
	Service string
	// Born is the Unix time in milliseconds of the incarnation's start.
	Born     int64
	Capacity work.Resources
	Labels   []string
}

// HasLabel reports whether the minion has the label; every minion has the empty label.
func (m *Minion) HasLabel(label string) bool {
	return label == "" || slices.Contains(m.Labels, label)
}
