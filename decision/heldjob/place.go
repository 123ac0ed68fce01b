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
	// caution is that of the job.
	caution float64
	// gathered are the names of the sidecars chosen so far.
	gathered map[string]bool
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
	planned := plan{complete: true, gathered: make(map[string]bool), caution: c.waitCaution(job)}
	limit := max(job.slack(now), 0)
	if job.begun {
		limit = max(limit, job.useless.Sub(now)-job.chain())
	}
	numbers := make(map[*sidecar]uint64)
	for _, task := range job.tasks {
		if task.phase != unplaced {
			continue
		}
		if !c.planTask(now, job, task, limit, &planned, numbers) {
			c.undo(planned)
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
		JobSidecars:  planned.gathered,
		Label:        step.Label,
		Rack:         step.Rack,
		AtStepLimit:  c.full(job, task.step, planned),
		MaxWait:      limit,
		FailedBefore: task.failures > 0,
	}
	choice, ok := c.chooser.Choose(c.candidates, wanted, task.avoided)
	if !ok {
		planned.reason = ReasonNoTargets
		return false
	}
	planned.wait = max(planned.wait, choice.Wait)
	planned.age = max(planned.age, now.Sub(choice.Candidate.StateAt))
	if !job.begun && time.Duration(float64(choice.Wait)*planned.caution) > limit {
		planned.reason = ReasonOverload
		return false
	}
	if choice.Wait > limit {
		planned.reason = ReasonOverload
		return false
	}
	c.choose(planned, numbers, task, choice, step.Need, wanted.Slack)
	return true
}

// full returns what reports whether a sidecar has as many tasks of a step as it
// may, with those that are planned; nil for a step without a bound.
func (c *Core) full(job *job, step int, planned *plan) func(string) bool {
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
		for _, one := range planned.choices {
			if one.task.step == step && one.choice.Candidate.Name == name {
				count++
			}
		}
		return count >= limit
	}
}

// choose adds a choice to a plan. It counts as sent from now on.
func (c *Core) choose(planned *plan, numbers map[*sidecar]uint64, task *task, choice placement.Choice, need work.Room, slack time.Duration) {
	chosen := c.sidecars[choice.Candidate.Name]
	number, ok := numbers[chosen]
	if !ok {
		number = chosen.requests + 1
		numbers[chosen] = number
	}
	chosen.candidate.AddPending(number, need, slack)
	planned.choices = append(planned.choices, plannedTask{task, choice, chosen, number})
	planned.gathered[choice.Candidate.Name] = true
}

// undo takes the choices of an incomplete plan back.
func (c *Core) undo(planned plan) {
	for _, one := range planned.choices {
		one.sidecar.candidate.RemovePending(one.number)
	}
}

// send orders the planned tasks, one request for each sidecar.
func (c *Core) send(now time.Time, job *job, planned plan) {
	requests := make(map[*sidecar]*session.StartRequest)
	var order []*sidecar
	slack := max(job.slack(now), 0)
	for _, one := range planned.choices {
		request, ok := requests[one.sidecar]
		if !ok {
			request = &session.StartRequest{Number: one.number, Spec: job.spec}
			requests[one.sidecar] = request
			order = append(order, one.sidecar)
			one.sidecar.requests = one.number
		}
		step := job.steps[one.task.step]
		request.Tasks = append(request.Tasks, session.StartTask{
			Task: one.task.key, Need: step.Need, Label: step.Label, Estimate: step.Estimate, Slack: slack,
			MaxWait: job.maxWait(now, step.Estimate), Expected: max(one.choice.Wait, job.leastExpected(now)),
		})
		request.Tasks[len(request.Tasks)-1].Kept = job.kept != nil
		request.Tasks[len(request.Tasks)-1].Checkpoint = one.task.checkpoint
		one.task.phase = ordered
		one.task.sidecar = one.sidecar.candidate.Name
		one.sidecar.placed[one.task.key] = one.task
		job.unplacedLeft--
	}
	for _, target := range order {
		c.ask(Order{Sidecar: target.candidate.Name, Job: job.id, Request: *requests[target]})
	}
}

// maxWait bounds the wait of a task for room at a sidecar.
func (j *job) maxWait(now time.Time, estimate time.Duration) time.Duration {
	if j.kept != nil {
		return keptMaxWait
	}
	return max(j.useless.Sub(now)-estimate, j.slack(now), 0)
}

// leastExpected returns the wait that a sidecar may take a task with though it
// is longer than expected. It grows with each refusal: on a fleet that is full
// everywhere there is no better place to be found, only a later one.
func (j *job) leastExpected(now time.Time) time.Duration {
	slack := max(j.slack(now), 0)
	if j.kept != nil {
		return keptWait
	}
	switch {
	case j.bounces == 0:
		return 0
	case j.bounces < maxBounces:
		return slack / 2
	case !j.begun:
		return slack
	}
	return j.useless.Sub(now)
}

// place tries to place the tasks of a job that have no run.
func (c *Core) place(now time.Time, job *job) {
	if job.kept != nil {
		c.placeKept(now, job)
		return
	}
	if job.unplacedLeft == 0 || now.Before(job.nextTry) {
		return
	}
	job.nextTry = now.Add(replaceInterval)
	planned := c.plan(now, job)
	if planned.complete && (job.begun || job.bounces <= maxBounces) {
		c.send(now, job, planned)
		return
	}
	if planned.complete {
		c.undo(planned)
		planned.reason = ReasonOverload
	}
	if !job.begun && c.untouched(job) && !c.worthWaiting(now, job, planned) {
		c.end(job, Answer{Outcome: Refused, Reason: planned.reason, RetryAfter: max(minRetryAfter, planned.wait)})
	}
}

// untouched reports whether no order of the job can have an effect.
func (c *Core) untouched(job *job) bool { return job.unplacedLeft == len(job.tasks) }
