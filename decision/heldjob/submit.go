package heldjob

import (
	"time"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/work"
)

// Submit takes a job, refuses it at once, or joins it to the same job that is
// under way already.
func (c *Core) Submit(now time.Time, submission *Submission) {
	if c.snapshot.Manifest == nil {
		c.refuse(submission, "", Answer{Outcome: Refused, Reason: ReasonNoManifest, RetryAfter: minRetryAfter}, 0)
		return
	}
	route, ok := c.snapshot.Manifest.Match(submission.Host, submission.Path)
	if !ok {
		c.refuse(submission, "", Answer{Outcome: NoRoute}, 0)
		return
	}
	if c.repeated(now, submission) {
		return
	}
	if reason := unsupported(&submission.Job, route); reason != "" {
		c.refuse(submission, route.Name, Answer{Outcome: Refused, Reason: ReasonUnsupported}, 0)
		return
	}
	if !submission.Job.BestEffort {
		c.submitKept(now, submission, route)
		return
	}
	c.admit(now, newJob(now, submission, route), submission)
}

// repeated answers or joins a job whose identity is known.
func (c *Core) repeated(now time.Time, submission *Submission) bool {
	if known, ok := c.jobs[submission.Job.ID]; ok && known.kept != nil {
		c.accepted(submission)
		return true
	} else if ok {
		known.waiters[submission.Waiter] = true
		known.useless = laterOf(known.useless, uselessAt(now, known.goal, known.submitted, submission.CallerTimeout))
		c.decided(Decision{Kind: DecidedJoined, Job: known.id, Request: submission.Request})
		return true
	}
	answer, ok := c.recent.get(submission.Job.ID)
	if ok {
		c.ask(Reply{Waiter: submission.Waiter, Answer: answer})
		c.decided(Decision{Kind: DecidedRepeated, Job: submission.Job.ID, Request: submission.Request, Outcome: answer.Outcome})
	}
	return ok
}

func laterOf(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

// unsupported names what the job asks for and is not built, if anything.
func unsupported(job *work.Job, route manifest.Route) string {
	switch {
	case job.LongRunning:
		return "long_running"
	case job.Occurrences > 1:
		return "occurrences"
	case route.Advised:
		return "advice"
	case job.BestEffort && len(job.Steps) != 1:
		return "steps"
	}
	for _, step := range job.Steps {
		if step.Unsupported != "" {
			return step.Unsupported
		}
	}
	return ""
}

func newJob(now time.Time, submission *Submission, route manifest.Route) *job {
	created := plainJob(now, submission.Job, route)
	created.waiters = map[uint64]bool{submission.Waiter: true}
	created.useless = uselessAt(now, created.goal, now, submission.CallerTimeout)
	return created
}

// plainJob returns a job of which nothing has run.
func plainJob(now time.Time, asked work.Job, route manifest.Route) *job {
	created := &job{id: asked.ID, spec: asked.Spec, steps: asked.Steps, route: route, submitted: now}
	for number, step := range created.steps {
		created.openOf = append(created.openOf, step.Count)
		for index := range step.Count {
			created.tasks = append(created.tasks, &task{
				key:  work.TaskKey{Job: created.id, Step: number, Index: index},
				step: number,
			})
		}
	}
	created.openLeft = len(created.tasks)
	created.unplacedLeft = len(created.tasks)
	stretch := route.Stretch
	if stretch <= 0 {
		stretch = defaultStretch
	}
	created.goal = now.Add(time.Duration(stretch*float64(created.chain())) + route.Objective)
	return created
}

// uselessAt returns when an answer is of no use any more: the caller's
// deadline, where it is known. A job that takes longer than its estimate says
// is still of use while its caller waits.
func uselessAt(now, goal, submitted time.Time, patience time.Duration) time.Time {
	if patience > 0 {
		return now.Add(patience - answerMargin)
	}
	return submitted.Add(lateFactor * goal.Sub(submitted))
}

// slack returns how long the job's tasks may still wait before it misses its
// objective.
func (j *job) slack(now time.Time) time.Duration {
	return j.goal.Sub(now) - j.chain() - startMargin
}

// hopeless reports whether the caller stops waiting long before the job can
// end, however far off its estimate is.
func (j *job) hopeless(now time.Time) bool {
	least := time.Duration(float64(j.chain()) * leastChainShare)
	return now.Add(least).After(j.useless)
}

// admit places all tasks of a new job, or refuses it when that can't be done
// in time.
func (c *Core) admit(now time.Time, created *job, submission *Submission) {
	if created.hopeless(now) {
		c.refuse(submission, created.route.Name, Answer{Outcome: Refused, Reason: ReasonTooLate, RetryAfter: minRetryAfter}, 0)
		return
	}
	plan := c.plan(now, created)
	if !plan.complete && !c.worthWaiting(now, created, plan) {
		answer := Answer{Outcome: Refused, Reason: plan.reason, RetryAfter: max(minRetryAfter, plan.wait)}
		c.refuse(submission, created.route.Name, answer, plan.wait)
		return
	}
	c.jobs[created.id] = created
	c.decided(Decision{Kind: DecidedAdmitted, Job: created.id, Request: submission.Request, Route: created.route.Name, Wait: plan.wait, Age: plan.age, Targets: len(c.candidates)})
	if plan.complete {
		c.send(now, created, plan)
	}
}

// worthWaiting reports whether a job without a place may find one in time: the
// entry has just started and has not met its sidecars yet.
func (c *Core) worthWaiting(now time.Time, job *job, plan plan) bool {
	return plan.reason == ReasonNoTargets && c.Targets() == 0 && now.Before(c.warmUntil) && job.slack(now) > 0
}

func (c *Core) refuse(submission *Submission, route string, answer Answer, wait time.Duration) {
	c.ask(Reply{Waiter: submission.Waiter, Answer: answer, Route: route})
	c.decided(Decision{
		Kind: DecidedRefused, Job: submission.Job.ID, Request: submission.Request, Outcome: answer.Outcome,
		Route: route, Reason: string(answer.Reason), Wait: wait, Targets: c.Targets(),
	})
}
