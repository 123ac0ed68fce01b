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

// placeQueue places tasks of stored jobs, in the order of the queue, until some
// jobs in a row have found no room.
func (c *Core) placeQueue(now time.Time) {
	if now.Before(c.nextQueueTry) || len(c.queue) == 0 {
		return
	}
	c.nextQueueTry = now.Add(replaceInterval)
	misses := 0
	for _, job := range c.queue {
		if job.unplacedLeft == 0 {
			continue
		}
		if c.placeKept(now, job) {
			misses = 0
			continue
		}
		misses++
		if misses >= maxQueueMisses {
			return
		}
	}
}

// placeKept places as many tasks of a stored job as have room now, and reports
// whether there was room for all that may run.
func (c *Core) placeKept(now time.Time, job *job) bool {
	if !c.owning || job.kept.unsure || job.kept.outcome != 0 || job.unplacedLeft == 0 {
		return true
	}
	if now.Before(job.nextTry) {
		return false
	}
	job.nextTry = now.Add(replaceInterval)
	slack := max(job.slack(now), 0)
	planned := plan{complete: true, gathered: make(map[string]bool)}
	numbers := make(map[*sidecar]uint64)
	for _, task := range job.tasks {
		if task.phase != unplaced || !job.eligible(task.step) {
			continue
		}
		if !c.planKept(job, task, slack, &planned, numbers) {
			planned.complete = false
			break
		}
	}
	if len(planned.choices) > 0 {
		c.send(now, job, planned)
	}
	return planned.complete
}

func (c *Core) planKept(job *job, task *task, slack time.Duration, planned *plan, numbers map[*sidecar]uint64) bool {
	step := job.steps[task.step]
	choice, ok := c.chooser.Choose(c.candidates, placement.Task{
		Service:      job.route.Service,
		Need:         step.Need,
		Estimate:     step.Estimate,
		Slack:        slack,
		Gathered:     planned.gathered,
		Label:        step.Label,
		Rack:         step.Rack,
		Full:         c.full(job, task.step, planned),
		MaxWait:      keptWait,
		FailedBefore: task.failures > 0,
	}, task.avoided)
	if !ok || choice.Wait > keptWait {
		return false
	}
	c.choose(planned, numbers, task, choice, step.Need, slack)
	return true
}
