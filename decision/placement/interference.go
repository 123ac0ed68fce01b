package placement

import (
	"time"

	"github.com/figring/figring/session"
)

const (
	// interferenceWeight is multiplied by the time by which tasks are expected to slow
	// each other down.
	interferenceWeight = 1.0
	// furtherTaskShare is the share of the slowdown of others that counts for a task whose
	// kind is on the minion already.
	furtherTaskShare = 0.25
	// oldPairShare is the share of placements that ignore old evidence, so that a pair
	// that has ceased to interfere is found out.
	oldPairShare = 0.05
)

// triesOldPairs reports whether a choice ignores the pairs on which the evidence is old.
func (c *Chooser) triesOldPairs() bool {
	return c.Interference != nil && c.Interference.AnyOld && c.Random.Float64() < oldPairShare
}

// interferenceCost returns the cost of the slowdown of the task by the runs on the
// candidate's minion and of these by the task.
func (c *Chooser) interferenceCost(candidate *Candidate, task *Task) time.Duration {
	own, others, seen := 0.0, 0.0, uint32(0)
	add := func(kind int, milliCPU int64) {
		if kind < 0 {
			return
		}
		others += c.Interference.Slowdown(kind, task.Kind, c.ignoreOld) * float64(milliCPU) / float64(max(task.Need.MilliCPU, 1))
		if seen&(1<<kind) == 0 {
			own += c.Interference.Slowdown(task.Kind, kind, c.ignoreOld)
		}
		seen |= 1 << kind
	}
	for _, load := range candidate.State.Running {
		add(candidate.Interference.Kind(load.Kind), load.MilliCPU)
	}
	for i := range candidate.pending {
		add(candidate.pending[i].kind, candidate.pending[i].total().MilliCPU)
	}
	if task.Kind >= 0 && seen&(1<<task.Kind) != 0 {
		others *= furtherTaskShare
	}
	return time.Duration(interferenceWeight * (own + others) * float64(task.Estimate))
}

// boundLoads bounds the received loads of the kinds to the minion's capacity: with a
// negative one, interference would attract tasks.
func boundLoads(state *session.State) {
	for i := range state.Running {
		load := &state.Running[i]
		load.MilliCPU = max(min(load.MilliCPU, state.Minion.Capacity.MilliCPU), 0)
	}
}
