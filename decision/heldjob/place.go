package heldjob

import (
	"slices"
	"time"

	"github.com/figring/figring/decision/placement"
	"github.com/figring/figring/session"
)

// plan is a placement of the unplaced tasks of a job.
type plan struct {
	// complete is true if every unplaced task of a best-effort job has a place;
	// otherwise reason says why not. Both are unused for a stored job.
	complete bool
	reason   Reason
	// trial is true if an incomplete plan of a best-effort job has a single choice, the
	// trial task of a suspect minion. The other tasks get places there when the minion is
	// trusted again.
	trial bool
	// wait is the longest expected wait of a task for room.
	wait time.Duration
	// age is the age of the oldest sidecar state that was used.
	age     time.Duration
	choices []plannedTask
	// unplaced are the tasks that found no place. Their choices have a candidate only if
	// the wait there is too long.
	unplaced []plannedTask
	// waitFactor is the wait factor of the job, see Core.waitFactor.
	waitFactor float64
	// allowed reports whether a sidecar may get tasks of the job; nil if each one may.
	allowed func(sidecar string) bool
	// blockedSteps is the number of steps of a stored job that no minion may run.
	blockedSteps int
	// limitedSteps has the number of tasks at each sidecar for the steps of which a minion
	// may run few.
	limitedSteps map[int]map[string]int
	// chosenSidecars holds the names of the sidecars chosen so far.
	chosenSidecars map[string]bool
}

// plannedTask is the place of one task. number is that of the StartRequest that will
// contain it.
type plannedTask struct {
	task    *task
	choice  placement.Choice
	sidecar *sidecar
	number  uint64
}

// plan chooses a place for each unplaced task. Each choice is counted as sent at
// once, so that the choices for the next tasks of the job allow for it. An incomplete
// plan is undone, but for the trial task of a suspect minion if it is only for suspect
// minions that other tasks have no place: otherwise jobs with more tasks than such minions
// would never give one a trial. confined are the confined routes of the job's service.
func (c *Core) plan(now time.Time, job *job, confined map[string]bool) plan {
	planned := plan{complete: true, chosenSidecars: make(map[string]bool), waitFactor: c.waitFactor(job)}
	c.limitPlacement(now, job, confined, &planned)
	limit := c.planLimit(now, job)
	numbers := make(map[*sidecar]uint64)
	for _, task := range job.tasks.states {
		if task.phase != phaseUnplaced {
			continue
		}
		if !c.planTask(now, job, task, limit, &planned, numbers) {
			planned.complete = false
			c.undoIncomplete(&planned)
			return planned
		}
	}
	return planned
}

// undoIncomplete undoes the choices of an incomplete plan, all but a trial.
func (c *Core) undoIncomplete(planned *plan) {
	at := slices.IndexFunc(planned.choices, func(chosen plannedTask) bool { return chosen.choice.Candidate.State.Suspect })
	planned.trial = at >= 0 && planned.unplaced[len(planned.unplaced)-1].choice.AwaitsTrial
	if !planned.trial {
		c.undoChoices(*planned)
		return
	}
	trial := planned.choices[at]
	planned.choices = slices.Delete(planned.choices, at, at+1)
	c.undoChoices(*planned)
	planned.choices = []plannedTask{trial}
}

// planTask adds a place for the task to the plan, or sets the plan's reason and
// returns false if the task can't start within the limit.
func (c *Core) planTask(now time.Time, job *job, task *task, limit time.Duration, planned *plan, numbers map[*sidecar]uint64) bool {
	step := job.steps[task.step]
	wanted := placement.Task{
		Service:     job.route.Service,
		Route:       job.route.Name,
		Kind:        c.kindOf(job, &step),
		Need:        step.Need,
		Estimate:    step.Estimate,
		Slack:       max(job.slack(now), 0),
		QueueDelay:  c.queueDelayOf(job),
		JobSidecars: planned.chosenSidecars,
		Label:       step.Label,
		Rack:        step.Rack,
		AtStepLimit: c.stepLimitReached(job, task.step, planned),
		MaxWait:     c.admissibleWait(job, planned, limit),
		Allowed:     planned.allowed,
		Failures:    task.failures,
		LastAttempt: task.attempt() >= job.route.Attempts,
	}
	avoided := c.isolate(now, task, &wanted)
	choice, ok := c.chooser.Choose(c.candidates, wanted, avoided)
	if !ok {
		planned.unplaced = append(planned.unplaced, plannedTask{task: task, choice: choice})
		planned.reason = ReasonNoTargets
		if choice.Full {
			planned.reason = ReasonOverload
		}
		return false
	}
	planned.wait = max(planned.wait, choice.Wait)
	planned.age = max(planned.age, now.Sub(choice.Candidate.StateAt))
	factor := planned.waitFactor
	if job.mayHaveRun {
		factor = 1
	}
	if choice.Wait > limit || time.Duration(float64(choice.Wait)*factor) > limit {
		planned.unplaced = append(planned.unplaced, plannedTask{task: task, choice: choice})
		planned.reason = ReasonOverload
		return false
	}
	c.addChoice(planned, numbers, task, choice, &wanted)
	return true
}

// admissibleWait returns the longest expected wait with which a task of the job is placed.
// Placement is told of the wait factor only if it estimates run times or keeps kinds of
// tasks apart. Then it has to be: no cost may make it choose a candidate for which the
// job is refused while there is one for which it is not.
func (c *Core) admissibleWait(job *job, planned *plan, limit time.Duration) time.Duration {
	if (!c.chooser.EstimateRunTimes && c.chooser.Interference == nil) || job.mayHaveRun {
		return limit
	}
	return time.Duration(float64(limit) / max(planned.waitFactor, 1))
}

// stepLimitReached returns a function that reports whether a sidecar has the maximum
// number of tasks of the step, including the planned ones. It returns nil for a step
// without a limit.
func (c *Core) stepLimitReached(job *job, step int, planned *plan) func(string) bool {
	limit := job.steps[step].MaxPerMinion
	if limit == 0 {
		return nil
	}
	counts := planned.stepCounts(job, step)
	return func(name string) bool { return counts[name] >= limit }
}

// stepCounts returns the number of tasks of a step at each sidecar, including the planned
// ones.
func (p *plan) stepCounts(job *job, step int) map[string]int {
	if p.limitedSteps == nil {
		p.limitedSteps = make(map[int]map[string]int)
	}
	counts, ok := p.limitedSteps[step]
	if ok {
		return counts
	}
	counts = make(map[string]int)
	for _, task := range job.tasks.states {
		if task.step == step && task.sidecar != "" {
			counts[task.sidecar]++
		}
	}
	p.limitedSteps[step] = counts
	return counts
}

// addChoice adds a choice to a plan and counts it as sent to the sidecar.
func (c *Core) addChoice(planned *plan, numbers map[*sidecar]uint64, task *task, choice placement.Choice, wanted *placement.Task) {
	chosen := c.sidecars[choice.Candidate.Name]
	number, ok := numbers[chosen]
	if !ok {
		number = chosen.lastRequest + 1
		numbers[chosen] = number
	}
	chosen.candidate.AddPending(number, wanted)
	chosen.candidate.Tasks++
	planned.choices = append(planned.choices, plannedTask{task, choice, chosen, number})
	if counts, limited := planned.limitedSteps[task.step]; limited {
		counts[choice.Candidate.Name]++
	}
	planned.chosenSidecars[choice.Candidate.Name] = true
}

// undoChoices removes the choices of a plan that is not sent from the counts of the
// sidecars.
func (c *Core) undoChoices(planned plan) {
	for _, chosen := range planned.choices {
		chosen.sidecar.candidate.RemovePending(chosen.number)
		chosen.sidecar.candidate.Tasks--
	}
}

// sendStarts sends the planned tasks with one StartTasks for each sidecar.
func (c *Core) sendStarts(now time.Time, job *job, planned plan) {
	requests := make(map[*sidecar]*session.StartRequest)
	var sidecars []*sidecar
	slack, delay := max(job.slack(now), 0), c.queueDelayOf(job)
	for _, chosen := range planned.choices {
		if chosen.choice.KeptApart {
			c.keptApart++
		}
		request, ok := requests[chosen.sidecar]
		if !ok {
			request = &session.StartRequest{Number: chosen.number, Spec: job.spec}
			requests[chosen.sidecar] = request
			sidecars = append(sidecars, chosen.sidecar)
			chosen.sidecar.lastRequest = chosen.number
		}
		step := job.steps[chosen.task.step]
		request.Tasks = append(request.Tasks, session.StartTask{
			Task: chosen.task.key, Attempt: chosen.task.attempt(), Route: job.route.Name, Need: step.Need, Label: step.Label, Estimate: step.Estimate, Slack: slack,
			MaxWait: job.maxWait(now, step.Estimate), ExpectedWait: max(chosen.choice.Wait, job.minExpectedWait(now)),
		})
		request.Tasks[len(request.Tasks)-1].QueueDelay = delay
		if job.stored != nil {
			chosen.task.epoch = job.stored.epoch
			request.Tasks[len(request.Tasks)-1].Stored = true
			request.Tasks[len(request.Tasks)-1].Epoch = chosen.task.epoch
		}
		request.Tasks[len(request.Tasks)-1].Checkpoint = chosen.task.checkpoint
		request.Tasks[len(request.Tasks)-1].Isolation = c.quarantine.Isolation(chosen.task.key)
		if c.chooser.Interference != nil {
			request.Tasks[len(request.Tasks)-1].Image = step.Image
		}
		job.tasks.keep(chosen.task)
		chosen.task.phase = phaseSent
		chosen.task.sidecar = chosen.sidecar.candidate.Name
		chosen.sidecar.placed[chosen.task.key] = chosen.task
		job.unplacedTasks--
	}
	for _, target := range sidecars {
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

// minExpectedWait returns the least wait to send as StartTask.Expected. A sidecar
// refuses a task if it expects a much longer wait, so a higher value makes it accept
// the task nevertheless. The value rises with the number of refusals: if all minions
// are full, another attempt finds no better place, only a later one.
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

// place tries to place the unplaced tasks of a job. It refuses the job if that fails
// and nothing of the job can have run.
func (c *Core) place(now time.Time, job *job) {
	if job.stored != nil {
		c.placeStored(now, job)
		return
	}
	if job.unplacedTasks == 0 || now.Before(job.nextPlacement) {
		return
	}
	job.nextPlacement = now.Add(placementRetryInterval)
	if c.yieldsRoom(now, job) {
		return
	}
	planned := c.plan(now, job, c.confinedRoutes(now, job.route.Service))
	placeable := planned.complete || planned.trial
	if placeable && (job.mayHaveRun || job.refusedReplies <= maxRefusedReplies) {
		c.sendStarts(now, job, planned)
		return
	}
	if placeable {
		c.undoChoices(planned)
		planned.reason = ReasonOverload
	}
	if !job.mayHaveRun && c.nothingPlaced(job) && !c.waitsForSettling(now, job) {
		c.quarantine.RecordRefusal(now, job.route.Name)
		c.end(job, Answer{Outcome: Refused, Reason: planned.reason, RetryAfter: c.retryAfter(now, job, planned.wait)})
	}
}

// nothingPlaced reports whether all tasks of the job are unplaced, so that no start
// request of the job can still take effect.
func (c *Core) nothingPlaced(job *job) bool { return job.unplacedTasks == job.taskCount }
