package heldjob

import (
	"time"

	"github.com/figring/figring/decision/placement"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// plan is the placement of the unplaced tasks of a job.
type plan struct {
	complete bool
	reason   Reason
	// wait is the longest expected wait of a task.
	wait time.Duration
	// age is that of the oldest state that was used.
	age     time.Duration
	choices []plannedTask
	// waitFactor is that of the job.
	waitFactor float64
	// chosenSidecars are the names of the sidecars chosen so far.
	chosenSidecars map[string]bool
}

type plannedTask struct {
	task    *task
	choice  placement.Choice
	sidecar *sidecar
	number  uint64
}

// plan chooses a place for each unplaced task. The choices count as sent, so
// that the tasks of a job see each other.
func (c *Core) plan(now time.Time, job *job) plan {
	planned := plan{complete: true, chosenSidecars: make(map[string]bool), waitFactor: c.waitFactor(job)}
	limit := max(job.slack(now), 0)
	if job.mayHaveRun {
		limit = max(limit, job.answerDeadline.Sub(now)-job.estimatedRun())
	}
	numbers := make(map[*sidecar]uint64)
	for _, task := range job.tasks {
		if task.phase != phaseUnplaced {
			continue
		}
		if !c.planTask(now, job, task, limit, &planned, numbers) {
			c.undoChoices(planned)
			planned.complete = false
			return planned
		}
	}
	return planned
}

func (c *Core) planTask(now time.Time, job *job, task *task, limit time.Duration, planned *plan, numbers map[*sidecar]uint64) bool {
	step := job.steps[task.step]
	wanted := placement.Task{
		Service:      job.route.Service,
		Need:         step.Need,
		Estimate:     step.Estimate,
		Slack:        max(job.slack(now), 0),
		Gathered:     planned.chosenSidecars,
		Label:        step.Label,
		Rack:         step.Rack,
		Full:         c.stepLimitReached(job, task.step, planned),
		MaxWait:      limit,
		FailedBefore: task.failures > 0,
	}
	choice, ok := c.chooser.Choose(c.candidates, wanted, task.avoidedSidecars)
	if !ok {
		planned.reason = ReasonNoTargets
		return false
	}
	planned.wait = max(planned.wait, choice.Wait)
	planned.age = max(planned.age, now.Sub(choice.Candidate.StateAt))
	if !job.mayHaveRun && time.Duration(float64(choice.Wait)*planned.waitFactor) > limit {
		planned.reason = ReasonOverload
		return false
	}
	if choice.Wait > limit {
		planned.reason = ReasonOverload
		return false
	}
	c.addChoice(planned, numbers, task, choice, step.Need, wanted.Slack)
	return true
}

// stepLimitReached returns what reports whether a sidecar has as many tasks of a step as it
// may, with those that are planned; nil for a step without a bound.
func (c *Core) stepLimitReached(job *job, step int, planned *plan) func(string) bool {
	limit := job.steps[step].MaxPerMinion
	if limit == 0 {
		return nil
	}
	return func(name string) bool {
		count := 0
		for key := range c.sidecars[name].placed {
			if key.Job == job.id && key.Step == step {
				count++
			}
		}
		for _, chosen := range planned.choices {
			if chosen.task.step == step && chosen.choice.Candidate.Name == name {
				count++
			}
		}
		return count >= limit
	}
}

// addChoice adds a choice to a plan. It counts as sent from now on.
func (c *Core) addChoice(planned *plan, numbers map[*sidecar]uint64, task *task, choice placement.Choice, need work.Room, slack time.Duration) {
	chosen := c.sidecars[choice.Candidate.Name]
	number, ok := numbers[chosen]
	if !ok {
		number = chosen.lastRequest + 1
		numbers[chosen] = number
	}
	chosen.candidate.Sent(number, need, slack)
	planned.choices = append(planned.choices, plannedTask{task, choice, chosen, number})
	planned.chosenSidecars[choice.Candidate.Name] = true
}

// undoChoices takes the choices of an incomplete plan back.
func (c *Core) undoChoices(planned plan) {
	for _, chosen := range planned.choices {
		chosen.sidecar.candidate.Unsend(chosen.number)
	}
}

// sendStarts orders the planned tasks, one request for each sidecar.
func (c *Core) sendStarts(now time.Time, job *job, planned plan) {
	requests := make(map[*sidecar]*session.StartRequest)
	var order []*sidecar
	slack := max(job.slack(now), 0)
	for _, chosen := range planned.choices {
		request, ok := requests[chosen.sidecar]
		if !ok {
			request = &session.StartRequest{Number: chosen.number, Spec: job.spec}
			requests[chosen.sidecar] = request
			order = append(order, chosen.sidecar)
			chosen.sidecar.lastRequest = chosen.number
		}
		step := job.steps[chosen.task.step]
		request.Tasks = append(request.Tasks, session.StartTask{
			Task: chosen.task.key, Need: step.Need, Label: step.Label, Estimate: step.Estimate, Slack: slack,
			MaxWait: job.maxWait(now, step.Estimate), Expected: max(chosen.choice.Wait, job.minExpectedWait(now)),
		})
		request.Tasks[len(request.Tasks)-1].Kept = job.stored != nil
		request.Tasks[len(request.Tasks)-1].Checkpoint = chosen.task.checkpoint
		chosen.task.phase = phaseSent
		chosen.task.sidecar = chosen.sidecar.candidate.Name
		chosen.sidecar.placed[chosen.task.key] = chosen.task
		job.unplacedTasks--
	}
	for _, target := range order {
		c.emit(StartTasks{Sidecar: target.candidate.Name, Job: job.id, Request: *requests[target]})
	}
}

// maxWait bounds the wait of a task for room at a sidecar.
func (j *job) maxWait(now time.Time, estimate time.Duration) time.Duration {
	if j.stored != nil {
		return storedMaxQueueWait
	}
	return max(j.answerDeadline.Sub(now)-estimate, j.slack(now), 0)
}

// minExpectedWait returns the wait that a sidecar may take a task with though it
// is longer than expected. It grows with each refusal: on a fleet that is full
// everywhere there is no better place to be found, only a later one.
func (j *job) minExpectedWait(now time.Time) time.Duration {
	slack := max(j.slack(now), 0)
	if j.stored != nil {
		return storedMaxExpectedWait
	}
	switch {
	case j.refusedReplies == 0:
		return 0
	case j.refusedReplies < maxRefusedReplies:
		return slack / 2
	case !j.mayHaveRun:
		return slack
	}
	return j.answerDeadline.Sub(now)
}

// place tries to place the tasks of a job that have no run.
func (c *Core) place(now time.Time, job *job) {
	if job.stored != nil {
		c.placeStored(now, job)
		return
	}
	if job.unplacedTasks == 0 || now.Before(job.nextPlacement) {
		return
	}
	job.nextPlacement = now.Add(placementRetryInterval)
	planned := c.plan(now, job)
	if planned.complete && (job.mayHaveRun || job.refusedReplies <= maxRefusedReplies) {
		c.sendStarts(now, job, planned)
		return
	}
	if planned.complete {
		c.undoChoices(planned)
		planned.reason = ReasonOverload
	}
	if !job.mayHaveRun && c.nothingPlaced(job) && !c.mayWaitForSidecars(now, job, planned) {
		c.end(job, Answer{Outcome: Refused, Reason: planned.reason, RetryAfter: max(minRetryAfter, planned.wait)})
	}
}

// nothingPlaced reports whether no order of the job can have an effect.
func (c *Core) nothingPlaced(job *job) bool { return job.unplacedTasks == len(job.tasks) }
