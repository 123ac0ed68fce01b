package schedule

import (
	"fmt"
	"slices"
	"time"

	"github.com/figring/figring/decision/heldjob"
	"github.com/figring/figring/work"
)

// caller is a caller that waits for the answer to one job.
type caller struct {
	job work.JobID
	// route is the name of the job's route.
	route  string
	tasks  int
	entry  *entry
	waiter uint64
	// refusals is the number of submissions answered as refused.
	refusals, submissions int
	// resubmitAt is when the caller resubmits; zero if no resubmission is pending.
	resubmitAt time.Time
	// completed is set by the answer that the job completed, finished by any final
	// answer.
	completed bool
	finished  bool
}

// checkReply records the answer to a caller and fails the test if it is not true.
func (sim *simulation) checkReply(reply heldjob.Reply) {
	found := slices.IndexFunc(sim.callers, func(c *caller) bool { return c.waiter == reply.Waiter && !c.finished })
	if found < 0 {
		return
	}
	c := sim.callers[found]
	c.finished = true
	sim.logEvent("%s answered: %v %v", c.job, reply.Answer.Outcome, reply.Answer.Reason)
	switch reply.Answer.Outcome {
	case heldjob.Completed:
		c.completed = true
		for index := range c.tasks {
			if !sim.succeeded[work.TaskKey{Job: c.job, Index: index}] {
				sim.fail("%s is reported as completed, but task %d has not completed", c.job, index)
			}
		}
	case heldjob.Refused:
		c.refusals++
		if c.refusals == c.submissions && sim.started[c.job] {
			sim.fail("%s is reported as refused, but has started", c.job)
		}
	case heldjob.Failed:
		if !sim.mayFail[c.job] {
			sim.fail("%s is reported as failed", c.job)
		}
	}
}

// submit submits a new job to a random entry, unless that entry is frozen or down.
func (sim *simulation) submit() {
	e := sim.entries[sim.drawInt(0, len(sim.entries)-1)]
	if !e.alive(sim.now) {
		return
	}
	c := &caller{
		job:   work.JobID(fmt.Sprintf("j%d", len(sim.callers))),
		route: routeName,
		tasks: sim.drawInt(1, 4),
	}
	sim.runTimes[c.job] = time.Duration(sim.drawInt(20, 900)) * time.Millisecond
	sim.callers = append(sim.callers, c)
	sim.submitTo(c, e)
}

func (sim *simulation) submitTo(c *caller, e *entry) {
	sim.lastWaiter++
	c.waiter = sim.lastWaiter
	c.entry = e
	c.submissions++
	c.resubmitAt = time.Time{}
	sim.logEvent("%s with %d tasks of %v is submitted to %s", c.job, c.tasks, sim.runTimes[c.job], e.name)
	e.submit(sim.now, c)
}

// disconnectCallers breaks the connections of all callers of an entry without
// telling the entry; the callers resubmit later.
func (sim *simulation) disconnectCallers(e *entry) {
	for _, c := range sim.callers {
		if c.entry == e && !c.finished && c.resubmitAt.IsZero() {
			c.resubmitAt = sim.now.Add(resubmitAfter)
		}
	}
}

// disconnectOneCaller breaks the connection of one caller and notifies the entry.
func (sim *simulation) disconnectOneCaller() {
	for _, c := range sim.callers {
		if !c.finished && c.resubmitAt.IsZero() && c.entry.alive(sim.now) {
			c.resubmitAt = sim.now.Add(resubmitAfter)
			c.entry.core.CallerGone(c.job, c.waiter)
			c.entry.performActions(sim.now)
			return
		}
	}
}

func (sim *simulation) resubmit() {
	for _, c := range sim.callers {
		if c.finished || c.resubmitAt.IsZero() || sim.now.Before(c.resubmitAt) {
			continue
		}
		e := sim.entries[sim.drawInt(0, len(sim.entries)-1)]
		if e.alive(sim.now) {
			sim.submitTo(c, e)
		}
	}
}
