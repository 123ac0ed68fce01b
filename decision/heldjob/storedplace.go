package heldjob

import (
	"time"

	"github.com/figring/figring/decision/placement"
)

// defaultCallerTimeout is how long a caller that sends no timeout is assumed to wait
// until its job is stored.
const defaultCallerTimeout = 2 * time.Second

// tickStored abandons the creation of jobs that were not stored before the deadline
// of one of their callers, and places tasks of the queued jobs.
func (c *Core) tickStored(now time.Time) {
	for id, create := range c.pendingCreates {
		for _, until := range create.waiters {
			if now.After(until) {
				c.emit(AbandonCreate{Job: id})
				break
			}
		}
	}
	c.placeQueue(now)
}

// placementResult is the result of placing the tasks of a stored job.
type placementResult int

const (
	// placedAll means that every eligible task has a place.
	placedAll placementResult = iota
	// placementNoRoom means that the minions that may run a task are full.
	placementNoRoom
	// placementNoMinion means that no minion may run some task at present, and that
	// all other eligible tasks have a place.
	placementNoMinion
)

// placeQueue places tasks of stored jobs in the order of the queue until
// maxQueueMisses jobs have found no room without one in between that was placed.
// Jobs that no minion may run at present don't block the queue.
func (c *Core) placeQueue(now time.Time) {
	if now.Before(c.nextQueueTry) || len(c.queue) == 0 || c.Targets() == 0 {
		return
	}
	c.nextQueueTry = now.Add(placementRetryInterval)
	misses := 0
	for _, job := range c.queue {
		if job.unplacedTasks == 0 {
			continue
		}
		switch c.placeStored(now, job) {
		case placedAll:
			misses = 0
		case placementNoRoom:
			misses++
		}
		if misses >= maxQueueMisses {
			return
		}
	}
}

// placeStored places as many eligible tasks of a stored job as have room now.
func (c *Core) placeStored(now time.Time, job *job) placementResult {
	if !c.ownsJobs(now) || job.stored.outcome != 0 || job.unplacedTasks == 0 {
		return placedAll
	}
	if job.stored.unconfirmed || job.stored.epoch != job.stored.savedEpoch {
		return placedAll
	}
	if now.Before(job.nextPlacement) {
		return job.stored.lastPlacement
	}
	planned, found := c.planStored(now, job, c.confinedRoutes(now, job.route.Service))
	job.stored.lastPlacement = found
	c.setBlockedSteps(job, planned.blockedSteps)
	job.nextPlacement = now.Add(placementRetryInterval)
	if found == placementNoMinion {
		job.nextPlacement = now.Add(c.noMinionRetry())
	}
	if len(planned.choices) > 0 {
		c.recordFirstPlacement(now, job)
		c.sendStarts(now, job, planned)
	}
	return found
}

// setBlockedSteps records how many steps of a job no minion may run at present.
func (c *Core) setBlockedSteps(job *job, count int) {
	if job.stored != nil {
		c.blockedSteps += count - job.stored.blockedSteps
		job.stored.blockedSteps = count
	}
}

// noMinionRetry returns the time between two placement attempts for a job that no minion
// may run at present. It grows with the number of such steps, which would otherwise take
// all of the entry's time.
func (c *Core) noMinionRetry() time.Duration {
	return max(noMinionRetryInterval, time.Duration(c.blockedSteps)*blockedStepInterval)
}

// planStored chooses places for the eligible tasks of a stored job until one finds no
// room.
func (c *Core) planStored(now time.Time, job *job, confined map[string]bool) (plan, placementResult) {
	slack := max(job.slack(now), 0)
	planned := plan{chosenSidecars: make(map[string]bool)}
	c.limitPlacement(now, job, confined, &planned)
	numbers := make(map[*sidecar]uint64)
	found := placedAll
	for step := range job.steps {
		if job.unfinishedByStep[step] == 0 || !job.eligible(step) {
			continue
		}
		switch c.planStoredStep(now, job, step, slack, &planned, numbers) {
		case placementNoRoom:
			return planned, placementNoRoom
		case placementNoMinion:
			found = placementNoMinion
			planned.blockedSteps++
		}
	}
	return planned, found
}

// planStoredStep chooses places for the tasks of a step until one finds no room. Tasks
// without state are alike, so that where one finds no minion, the others are not tried.
func (c *Core) planStoredStep(now time.Time, job *job, step int, slack time.Duration, planned *plan, numbers map[*sidecar]uint64) placementResult {
	found, newOnesPlaceable := placedAll, true
	for index, state := range job.tasks.unfinished(job.steps, step) {
		isNew := state == nil
		switch {
		case isNew && !newOnesPlaceable:
			continue
		case isNew:
			state = newTask(job.id, step, index)
		case state.phase != phaseUnplaced:
			continue
		}
		switch c.planStoredTask(now, job, state, slack, planned, numbers) {
		case placementNoRoom:
			return placementNoRoom
		case placementNoMinion:
			found = placementNoMinion
			newOnesPlaceable = newOnesPlaceable && !isNew
		}
	}
	return found
}

// recordFirstPlacement reports to queueDelay how long a job waited until its first
// task was placed.
func (c *Core) recordFirstPlacement(now time.Time, job *job) {
	if job.stored.placed {
		return
	}
	job.stored.placed = true
	c.queueDelay.RecordWait(now, job.route.Priority, now.Sub(job.submitted))
}

// planStoredTask adds a place for the task to the plan if a minion has room for it
// within storedMaxExpectedWait.
func (c *Core) planStoredTask(now time.Time, job *job, task *task, slack time.Duration, planned *plan, numbers map[*sidecar]uint64) placementResult {
	step := job.steps[task.step]
	wanted := placement.Task{
		Service:     job.route.Service,
		Route:       job.route.Name,
		Kind:        c.kindOf(job, &step),
		Need:        step.Need,
		Estimate:    step.Estimate,
		Slack:       slack,
		JobSidecars: planned.chosenSidecars,
		Label:       step.Label,
		Rack:        step.Rack,
		AtStepLimit: c.stepLimitReached(job, task.step, planned),
		MaxWait:     storedMaxExpectedWait,
		Allowed:     planned.allowed,
		Failures:    task.failures,
		LastAttempt: task.attempt() >= job.route.Attempts,
	}
	avoided := c.isolate(now, task, &wanted)
	choice, ok := c.chooser.Choose(c.candidates, wanted, avoided)
	if !ok {
		planned.unplaced = append(planned.unplaced, plannedTask{task: task, choice: choice})
		if choice.Full {
			return placementNoRoom
		}
		return placementNoMinion
	}
	if choice.Wait > storedMaxExpectedWait {
		planned.unplaced = append(planned.unplaced, plannedTask{task: task, choice: choice})
		return placementNoRoom
	}
	c.addChoice(planned, numbers, task, choice, &wanted)
	return placedAll
}
