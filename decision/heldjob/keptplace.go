package heldjob

import (
	"time"

	"github.com/figring/figring/decision/placement"
)

// defaultPatience stands for a caller that does not say how long it waits.
const defaultPatience = 2 * time.Second

// tickKept gives up on callers of jobs that can't be stored in time, and places
// what waits in the queue.
func (c *Core) tickKept(now time.Time) {
	for id, under := range c.storing {
		for _, until := range under.waiters {
			if now.After(until) {
				c.ask(AbandonJob{Job: id})
				break
			}
		}
	}
	c.placeQueue(now)
}

// fit says what a stored job has found that looked for room.
type fit int

const (
	// fitAll means that every task that may run has a place.
	fitAll fit = iota
	// fitNoRoom means that the minions that may run the job are full.
	fitNoRoom
	// fitNowhere means that no minion may run some task, and that there was room
	// for all others.
	fitNowhere
)

// placeQueue places tasks of stored jobs, in the order of the queue, until some
// jobs in a row have found no room. Jobs that no minion may run at present hold
// up nothing.
func (c *Core) placeQueue(now time.Time) {
	if now.Before(c.nextQueueTry) || len(c.queue) == 0 || c.Targets() == 0 {
		return
	}
	c.nextQueueTry = now.Add(replaceInterval)
	misses := 0
	for _, job := range c.queue {
		if job.unplacedLeft == 0 {
			continue
		}
		switch c.placeKept(now, job) {
		case fitAll:
			misses = 0
		case fitNoRoom:
			misses++
		}
		if misses >= maxQueueMisses {
			return
		}
	}
}

// placeKept places as many tasks of a stored job as have room now.
func (c *Core) placeKept(now time.Time, job *job) fit {
	if !c.owning || job.kept.unsure || job.kept.outcome != 0 || job.unplacedLeft == 0 {
		return fitAll
	}
	if now.Before(job.nextTry) {
		return job.kept.fit
	}
	planned, found := c.planAllKept(now, job)
	job.kept.fit = found
	job.nextTry = now.Add(replaceInterval)
	if found == fitNowhere {
		job.nextTry = now.Add(nowhereInterval)
	}
	if len(planned.choices) > 0 {
		c.enter(now, job)
		c.send(now, job, planned)
	}
	return found
}

// planAllKept plans the tasks of a stored job that may run, until one finds no
// room.
func (c *Core) planAllKept(now time.Time, job *job) (plan, fit) {
	slack := max(job.slack(now), 0)
	planned := plan{gathered: make(map[string]bool)}
	numbers := make(map[*sidecar]uint64)
	found := fitAll
	for _, task := range job.tasks {
		if task.phase != unplaced || !job.eligible(task.step) {
			continue
		}
		switch c.planKept(job, task, slack, &planned, numbers) {
		case fitNoRoom:
			return planned, fitNoRoom
		case fitNowhere:
			found = fitNowhere
		}
	}
	return planned, found
}

// enter takes note of the wait of a job that gets its first room.
func (c *Core) enter(now time.Time, job *job) {
	if job.kept.entered {
		return
	}
	job.kept.entered = true
	c.delay.Entered(now, job.route.Priority, now.Sub(job.submitted))
}

func (c *Core) planKept(job *job, task *task, slack time.Duration, planned *plan, numbers map[*sidecar]uint64) fit {
	step := job.steps[task.step]
	choice, ok := c.chooser.Choose(c.candidates, placement.Task{
		Service:      job.route.Service,
		Need:         step.Need,
		Estimate:     step.Estimate,
		Slack:        slack,
		JobSidecars:  planned.gathered,
		Label:        step.Label,
		Rack:         step.Rack,
		AtStepLimit:  c.full(job, task.step, planned),
		MaxWait:      keptWait,
		FailedBefore: task.failures > 0,
	}, task.avoided)
	if !ok {
		return fitNowhere
	}
	if choice.Wait > keptWait {
		return fitNoRoom
	}
	c.choose(planned, numbers, task, choice, step.Need, slack)
	return fitAll
}
