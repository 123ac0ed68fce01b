package placement

import (
	"time"

	"github.com/figring/figring/decision/interference"
	"github.com/figring/figring/decision/runtimes"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// Candidate is a sidecar that a task may be placed at, as known to the entry.
type Candidate struct {
	Name  string
	Zone  string
	State session.State
	// StateAt is the time at which State was received.
	StateAt time.Time
	// Tasks is the number of tasks that the sidecar has or may have from this entry, those
	// of plans included.
	Tasks int
	// trialDueSince is when State first told of the trial that is due now; zero if
	// none is due.
	trialDueSince time.Time
	// pending holds the task starts that State does not take account of yet.
	pending []pendingStart
	// failureExcess is the failure share above that of the other minions, from 0 to 1.
	// failureAvoided means that it was high and has not returned to a low value since.
	failureExcess  float64
	failureAvoided bool
	// RunTimes are the run times on the minion.
	RunTimes runtimes.Minion
	// Interference is the evidence that the sidecar has reported.
	Interference interference.Report
}

// maxTasks bounds Tasks. It is the sum of the 256 tasks that a minion runs at a time
// (session.Minion.Occupied) and the 512 that wait at its sidecar (execution.maxQueued).
const maxTasks = 768

// failedTrialDelay is how long a trial of a suspect minion has to be due, for each
// failed run of the task, before the task may be the trial task. Tasks with fewer
// failed runs come first, also those of other entries.
const failedTrialDelay = 300 * time.Millisecond

// mayTry reports whether a task with that many failed runs may be the trial task of
// the suspect minion.
func (c *Candidate) mayTry(failures int) bool {
	if !c.State.TrialDue || len(c.pending) > 0 {
		return false
	}
	return c.StateAt.Sub(c.trialDueSince) >= time.Duration(failures)*failedTrialDelay
}

// pendingStart is the start of tasks of one kind, sent or planned to be sent in the
// StartRequest of requestNumber.
type pendingStart struct {
	requestNumber uint64
	// need is what each of the count tasks takes.
	need  work.Resources
	count int64
	// slack is the time until the latest start time by which the task is queued.
	slack time.Duration
	// pause is the time for which the task keeps its minion from starting others.
	pause time.Duration
	// kind is the entry's index of the kind of the task.
	kind int
}

// total returns what all the tasks take.
func (s *pendingStart) total() work.Resources { return s.need.Times(s.count) }

// countWithin returns how many of the tasks start while at most milliCPU is taken before
// each of them.
func (s *pendingStart) countWithin(milliCPU int64) int64 {
	switch {
	case milliCPU < 0:
		return 0
	case s.need.MilliCPU <= 0:
		return s.count
	}
	return min(s.count, milliCPU/s.need.MilliCPU+1)
}

// AddPending records the start of the task in the StartRequest of requestNumber.
func (c *Candidate) AddPending(requestNumber uint64, task *Task) {
	added := pendingStart{requestNumber, c.State.Minion.Occupied(task.Need), 1, task.QueueSlack(), task.Pause, task.Kind}
	if last := len(c.pending) - 1; last >= 0 {
		added.count = c.pending[last].count
		if added == c.pending[last] {
			c.pending[last].count++
			return
		}
		added.count = 1
	}
	c.pending = append(c.pending, added)
}

// Update sets a newer state and drops the pending starts that it takes account
// of.
func (c *Candidate) Update(state session.State, at time.Time) {
	boundLoads(&state)
	c.State = state
	c.StateAt = at
	c.updateTrialDue()
	c.RunTimes.Report(at, &state.Minion, state.RunTimes)
	kept := c.pending[:0]
	for _, start := range c.pending {
		if start.requestNumber > state.LastStartNumber {
			kept = append(kept, start)
		}
	}
	c.pending = kept
}

// updateTrialDue updates trialDueSince to a new state.
func (c *Candidate) updateTrialDue() {
	switch {
	case !c.State.Suspect || !c.State.TrialDue:
		c.trialDueSince = time.Time{}
	case c.trialDueSince.IsZero():
		c.trialDueSince = c.StateAt
	}
}

// ClearPending drops all pending starts, for when the session has ended.
func (c *Candidate) ClearPending() { c.pending = nil }

// freeAfterPending returns the free capacity less the needs of the pending
// starts.
func (c *Candidate) freeAfterPending() work.Resources {
	free := c.State.Free
	for _, start := range c.pending {
		free = free.Sub(start.total())
	}
	return free
}

// Unqueued returns the free capacity that no queued or pending task needs, in thousandths
// of a core.
func (c *Candidate) Unqueued() int64 { return c.freeAfterPending().MilliCPU - c.State.Queued.Total() }

// expectedWait estimates the time until there is capacity for need. Queued and
// pending tasks with no more slack start first. A pending task with more slack
// counts too if the free capacity is enough for everything queued, because it
// then starts at once.
func (c *Candidate) expectedWait(need work.Resources, slack time.Duration) time.Duration {
	missing := need.Sub(c.State.Free).MilliCPU + c.State.Queued.Ahead(slack)
	pause := c.State.StartPause + c.pendingPause()
	for _, start := range c.pending {
		count := start.count
		if start.slack > slack {
			count = start.countWithin(-missing - c.State.Queued.Total())
		}
		missing += start.need.MilliCPU * count
	}
	if missing <= 0 {
		return pause
	}
	return pause + time.Duration(float64(c.State.Turnover)*float64(missing)/float64(c.State.Minion.Capacity.MilliCPU))
}

// pendingPause returns for how long the pending starts will keep the minion from starting
// others. The tasks of one request are started together.
func (c *Candidate) pendingPause() time.Duration {
	pause := time.Duration(0)
	var counted uint64
	for _, start := range c.pending {
		if start.pause > 0 && start.requestNumber != counted {
			pause += start.pause
			counted = start.requestNumber
		}
	}
	return pause
}

// RemovePending drops the pending starts of a request that was not sent.
func (c *Candidate) RemovePending(requestNumber uint64) {
	kept := c.pending[:0]
	for _, start := range c.pending {
		if start.requestNumber != requestNumber {
			kept = append(kept, start)
		}
	}
	c.pending = kept
}
