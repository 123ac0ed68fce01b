package placement

import (
	"math/rand/v2"
	"time"

	"github.com/figring/figring/work"
)

const (
	// remoteCost is what a task in another availability zone takes longer.
	remoteCost = 3 * time.Millisecond
	// fullCost is added in proportion to the used share of a minion, so that
	// tasks spread over equally good ones.
	fullCost = 12 * time.Millisecond
	// jitterCost is the bound of a random part, so that entries that see the
	// same states do not all choose the same minion.
	jitterCost = 4 * time.Millisecond
	// soundPace is the run time as a multiple of the estimate up to which a
	// minion counts as sound: racks differ by some tens of percent, and
	// estimates are far off.
	soundPace = 1.8
	// paceCost is added for each whole estimate that a sound minion takes longer.
	paceCost = 10 * time.Millisecond
	// farShare is the part of its estimate that a task takes longer where its
	// data is on another rack.
	farShare = 0.5
	// gatherGain is taken off for a minion that another task of the same job
	// goes to: tasks that share a minion share their messages.
	gatherGain = 6 * time.Millisecond
	// overdueCost is added for a candidate whose room comes too late.
	overdueCost = 20 * time.Second
)

// Task is a task to place.
type Task struct {
	Service  string
	Need     work.Room
	Estimate time.Duration
	// Slack is how long the task may wait before its job misses its objective.
	Slack time.Duration
	// MaxWait is how long the task may wait for room.
	MaxWait time.Duration
	// Gathered are the sidecars that other tasks of the same job go to.
	Gathered map[string]bool
	// Label is one that the minion must have; empty for none.
	Label string
	// Rack names the rack with the data; empty where it does not matter.
	Rack string
	// Full reports whether a sidecar has as many tasks of the step as it may.
	Full func(sidecar string) bool
	// FailedBefore keeps the task away from minions on trial.
	FailedBefore bool
}

// Choice is the place of one task.
type Choice struct {
	Candidate *Candidate
	// Wait is the expected time until the task starts.
	Wait time.Duration
}

// Chooser chooses among candidates.
type Chooser struct {
	// Zone is the entry's own availability zone.
	Zone string
	// Evacuated reports whether an availability zone gets no new work.
	Evacuated func(zone string) bool
	// Random spreads equal choices.
	Random *rand.Rand
}

// Choose returns the best place of the task; false when no candidate may run
// it at all. The avoided candidates are used only when there is no other.
func (c *Chooser) Choose(candidates []*Candidate, task Task, avoided map[string]bool) (Choice, bool) {
	best, bestCost, found := Choice{}, time.Duration(0), false
	for _, candidate := range candidates {
		if !c.usable(candidate, task) {
			continue
		}
		choice := Choice{Candidate: candidate, Wait: candidate.wait(task.Need, task.Slack)}
		cost := c.cost(choice, task, avoided[candidate.Name])
		if !found || cost < bestCost {
			best, bestCost, found = choice, cost, true
		}
	}
	return best, found
}

func (c *Chooser) usable(candidate *Candidate, task Task) bool {
	state := &candidate.State
	if !state.Accepting || state.Minion.Service != task.Service || c.Evacuated(candidate.Zone) {
		return false
	}
	if !state.Minion.HasLabel(task.Label) || (task.Full != nil && task.Full(candidate.Name)) {
		return false
	}
	if state.Suspect && (!state.TrialDue || len(candidate.unseen) > 0 || task.FailedBefore) {
		return false
	}
	return state.Minion.Capacity.Fits(task.Need)
}

// avoidCost is added for a candidate that the task has failed at before.
const avoidCost = 5 * time.Second

func (c *Chooser) cost(choice Choice, task Task, avoided bool) time.Duration {
	state := &choice.Candidate.State
	cost := choice.Wait + time.Duration(float64(paceCost)*state.Pace)
	if state.Pace > soundPace {
		cost += time.Duration(float64(task.Estimate) * (state.Pace - 1))
	}
	if choice.Candidate.Zone != c.Zone {
		cost += remoteCost
	}
	if task.Rack != "" && !state.Minion.HasLabel(task.Rack) {
		cost += time.Duration(farShare * float64(task.Estimate))
	}
	if task.Gathered[choice.Candidate.Name] {
		cost -= gatherGain
	}
	capacity := float64(state.Minion.Capacity.MilliCPU)
	cost += time.Duration(float64(fullCost) * (1 - float64(choice.Candidate.free().MilliCPU)/capacity))
	cost += time.Duration(c.Random.Int64N(int64(jitterCost)))
	if choice.Wait > task.MaxWait {
		cost += overdueCost
	}
	if avoided {
		cost += avoidCost
	}
	return cost
}
