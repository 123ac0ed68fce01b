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

// maxTasks bounds the tasks that a minion runs at a time: one that needs next to nothing still
// takes memory and time of the processes that start and watch it.
const maxTasks = 256

// Occupied returns the capacity that a task with the need takes: at least a share of the CPU.
func (m *Minion) Occupied(need work.Resources) work.Resources {
	need.MilliCPU = max(need.MilliCPU, m.Capacity.MilliCPU/maxTasks)
	return need
}

// HasLabel reports whether the minion has the label; every minion has the empty label.
func (m *Minion) HasLabel(label string) bool {
	return label == "" || slices.Contains(m.Labels, label)
}
