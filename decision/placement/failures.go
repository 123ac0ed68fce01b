package placement

import (
	"slices"
	"time"
)

const (
	// restartTime is the time from the failure of a run to the start of the next one.
	restartTime = 15 * time.Millisecond
	// highFailureExcess is the excess of a failure share from which a minion is avoided
	// by tasks that must not fail. Below it the difference is within what chance
	// explains where some jobs fail everywhere.
	highFailureExcess = 0.15
	// usedAgainExcess is the excess below which an avoided minion counts as used again.
	usedAgainExcess = 0.05
	// jobFailureCost is multiplied by the excess for a task whose next failure fails its
	// job, or may do so soon.
	jobFailureCost = 4 * time.Second
	// thousandth is the unit of session.State.FailureShare.
	thousandth = 0.001
)

// FailureChange is a candidate that tasks begin to avoid for its failures, or no longer
// avoid.
type FailureChange struct {
	Candidate *Candidate
	Avoided   bool
	// Excess is the failure share above that of the other minions of the service, from
	// 0 to 1.
	Excess float64
}

// FailureComparison compares the failure shares of the minions of each service. What
// counts of a share is the excess over the median: jobs that fail on every minion raise
// the median.
type FailureComparison struct {
	shares map[string][]int
}

// Update sets the excess of each candidate and returns which candidates tasks begin or
// cease to avoid.
func (f *FailureComparison) Update(candidates []*Candidate) []FailureChange {
	if f.shares == nil {
		f.shares = make(map[string][]int)
	}
	for service := range f.shares {
		f.shares[service] = f.shares[service][:0]
	}
	for _, candidate := range candidates {
		if candidate.State.FailureShare > 0 {
			service := candidate.State.Minion.Service
			f.shares[service] = append(f.shares[service], candidate.State.FailureShare)
		}
	}
	for _, shares := range f.shares {
		slices.Sort(shares)
	}
	var changes []FailureChange
	for _, candidate := range candidates {
		candidate.failureExcess = thousandth * float64(max(candidate.State.FailureShare-f.median(candidate), 0))
		if candidate.updateFailureAvoided() {
			changes = append(changes, FailureChange{candidate, candidate.failureAvoided, candidate.failureExcess})
		}
	}
	return changes
}

// median returns the median of the shares that are reported for the candidate's service;
// the lower one of an even number.
func (f *FailureComparison) median(candidate *Candidate) int {
	shares := f.shares[candidate.State.Minion.Service]
	if len(shares) == 0 {
		return 0
	}
	return shares[(len(shares)-1)/2]
}

// updateFailureAvoided updates failureAvoided and reports whether it has changed.
func (c *Candidate) updateFailureAvoided() bool {
	before := c.failureAvoided
	switch {
	case c.failureExcess >= highFailureExcess:
		c.failureAvoided = true
	case c.failureExcess < usedAgainExcess:
		c.failureAvoided = false
	}
	return c.failureAvoided != before
}

// failureCost returns the time that a failure of the task is expected to cost.
func failureCost(excess float64, task *Task, runTime time.Duration) time.Duration {
	cost := excess * float64(runTime+restartTime)
	if excess >= highFailureExcess && (task.Failures > 0 || task.LastAttempt) {
		cost += excess * float64(jobFailureCost)
	}
	return time.Duration(cost)
}
