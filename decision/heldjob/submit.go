package heldjob

import (
	"time"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/work"
)

// Submit admits a job, refuses it immediately, or adds the caller to the waiters of
// the same job if that is active already.
func (c *Core) Submit(now time.Time, submission *Submission) {
	route, answer := c.match(submission)
	if answer.Outcome != 0 {
		c.refuse(submission, "", answer, 0)
		return
	}
	if c.answerDuplicate(now, submission) {
		return
	}
	if answer := c.rejection(submission, route); answer.Outcome != 0 {
		c.refuse(submission, route.Name, answer, 0)
		return
	}
	c.quarantine.RecordSubmission(now, route.Name, route.Service)
	if !submission.Job.BestEffort {
		c.submitStored(now, submission, route)
		return
	}
	c.admit(now, newBestEffortJob(now, submission, route), submission)
}

// match returns the route of a submission, or the answer if there is none.
func (c *Core) match(submission *Submission) (manifest.Route, Answer) {
	if c.snapshot.Manifest == nil {
		return manifest.Route{}, Answer{Outcome: Refused, Reason: ReasonNoManifest, RetryAfter: minRetryAfter}
	}
	route, ok := c.snapshot.Manifest.Match(submission.Host, submission.Path)
	if !ok {
		return manifest.Route{}, Answer{Outcome: NoRoute}
	}
	return route, Answer{}
}

// rejection returns the answer to a new job that is refused whatever the load; its Outcome
// is 0 for any other.
func (c *Core) rejection(submission *Submission, route manifest.Route) Answer {
	switch {
	case c.exiting:
		return c.exitingAnswer(submission)
	case unsupportedFeature(&submission.Job, route) != "":
		return Answer{Outcome: Refused, Reason: ReasonUnsupported}
	}
	return Answer{}
}

// answerDuplicate handles a submission whose job ID is known. It returns false for a
// new job.
func (c *Core) answerDuplicate(now time.Time, submission *Submission) bool {
	if job, ok := c.jobs[submission.Job.ID]; ok && job.stored != nil {
		c.replyAccepted(submission)
		return true
	} else if ok {
		job.waiters[submission.Waiter] = true
		job.answerDeadline = laterOf(job.answerDeadline, answerDeadline(now, job.objectiveEnd, job.submitted, submission.CallerTimeout))
		c.recordDecision(Decision{Kind: DecidedJoined, Job: job.id, Request: submission.Request})
		return true
	}
	answer, ok := c.answers.get(submission.Job.ID)
	if ok {
		c.emit(Reply{Waiter: submission.Waiter, Answer: answer})
		c.recordDecision(Decision{Kind: DecidedRepeated, Job: submission.Job.ID, Request: submission.Request, Outcome: answer.Outcome})
	}
	return ok
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// unsupportedFeature returns the name of the first feature that the job asks for and
// that is not implemented; empty if there is none.
func unsupportedFeature(job *work.Job, route manifest.Route) string {
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

func newBestEffortJob(now time.Time, submission *Submission, route manifest.Route) *job {
	created := newUnplacedJob(now, submission.Job, route)
	for step := range created.steps {
		for index := range created.steps[step].Count {
			created.tasks.states = append(created.tasks.states, newTask(created.id, step, index))
		}
	}
	created.waiters = map[uint64]bool{submission.Waiter: true}
	created.answerDeadline = answerDeadline(now, created.objectiveEnd, now, submission.CallerTimeout)
	return created
}

// newUnplacedJob returns a job of which no task has run.
func newUnplacedJob(now time.Time, source work.Job, route manifest.Route) *job {
	created := &job{id: source.ID, spec: source.Spec, steps: source.Steps, route: route, submitted: now}
	for _, step := range created.steps {
		created.unfinishedByStep = append(created.unfinishedByStep, step.Count)
		created.taskCount += step.Count
	}
	created.unfinishedTasks = created.taskCount
	created.unplacedTasks = created.taskCount
	stretch := route.Stretch
	if stretch <= 0 {
		stretch = defaultStretch
	}
	created.objectiveEnd = now.Add(time.Duration(stretch*float64(created.estimatedRun())) + route.Objective)
	return created
}

// answerDeadline returns when an answer is no longer of use. If the caller's deadline
// is known, it is that deadline less answerMargin: a job that takes longer than
// estimated is still of use while its caller waits.
func answerDeadline(now, objectiveEnd, submitted time.Time, callerTimeout time.Duration) time.Time {
	if callerTimeout > 0 {
		return now.Add(callerTimeout - answerMargin)
	}
	return submitted.Add(maxLatenessFactor * objectiveEnd.Sub(submitted))
}

// slack returns how long the job's tasks may still wait for room before the job
// misses its objective.
func (j *job) slack(now time.Time) time.Duration {
	return j.objectiveEnd.Sub(now) - j.estimatedRun() - startMargin
}

// cannotFinishInTime reports whether the caller's deadline passes before the job can
// end, even if the job takes only minEstimateShare of its estimated run time.
func (j *job) cannotFinishInTime(now time.Time) bool {
	least := time.Duration(float64(j.estimatedRun()) * minEstimateShare)
	return now.Add(least).After(j.answerDeadline)
}

// admit places all tasks of a new best-effort job, or refuses the job if they can't
// start in time.
func (c *Core) admit(now time.Time, job *job, submission *Submission) {
	if answer := c.hopeless(now, job); answer.Outcome != 0 {
		c.refuse(submission, job.route.Name, answer, 0)
		return
	}
	admission := c.admitClass(now, job)
	if admission.Shed {
		c.quarantine.RecordRefusal(now, job.route.Name)
		answer := Answer{Outcome: Refused, Reason: ReasonOverload, RetryAfter: c.retryAfter(now, job, 0)}
		c.refuse(submission, job.route.Name, answer, 0)
		c.decisions[len(c.decisions)-1].Shed = true
		return
	}
	plan := c.plan(now, job, c.confinedRoutes(now, job.route.Service))
	if c.lacksRoom(now, job, &plan) {
		c.quarantine.RecordRefusal(now, job.route.Name)
		c.classLoad.Withdraw(admission)
		answer := Answer{Outcome: Refused, Reason: plan.reason, RetryAfter: c.retryAfter(now, job, plan.wait)}
		c.refuse(submission, job.route.Name, answer, plan.wait)
		return
	}
	bytes := MemoryOf(&submission.Job) + taskStateBytes*int64(job.taskCount)
	if !plan.complete && !c.memory.fitsNew(bytes) {
		if plan.trial {
			c.undoChoices(plan)
		}
		c.classLoad.Withdraw(admission)
		c.refuse(submission, job.route.Name, jobMemoryAnswer, 0)
		return
	}
	c.classLoad.Confirm(admission)
	c.add(job, bytes)
	c.recordDecision(Decision{Kind: DecidedAdmitted, Job: job.id, Request: submission.Request, Route: job.route.Name, Wait: plan.wait, Age: plan.age, Targets: len(c.candidates)})
	if plan.complete || plan.trial {
		c.sendStarts(now, job, plan)
	}
}

// jobMemoryAnswer is the answer to a job for which there is no memory.
var jobMemoryAnswer = Answer{Outcome: Refused, Reason: ReasonJobMemory, RetryAfter: minRetryAfter}

// hopeless returns the answer to a new best-effort job that is of no use to place; its
// Outcome is 0 for any other.
func (c *Core) hopeless(now time.Time, job *job) Answer {
	switch {
	case job.cannotFinishInTime(now):
		return Answer{Outcome: Refused, Reason: ReasonTooLate, RetryAfter: minRetryAfter}
	case c.hasPoison(job):
		return Answer{Outcome: Failed, Reason: ReasonPoison}
	}
	return Answer{}
}

// lacksRoom reports whether a new best-effort job with the plan is refused.
func (c *Core) lacksRoom(now time.Time, job *job, planned *plan) bool {
	return !planned.complete && !planned.trial && !c.waitsForSettling(now, job)
}

// exitingAnswer returns the answer to a submission to a process that is about to exit. A
// job of which an earlier submission is being stored may be run by another entry, so that
// it is not refused but given up.
func (c *Core) exitingAnswer(submission *Submission) Answer {
	answer := Answer{Outcome: Refused, Reason: ReasonDraining, RetryAfter: minRetryAfter}
	if _, creating := c.pendingCreates[submission.Job.ID]; creating {
		answer.Outcome = GivenUp
	}
	return answer
}

func (c *Core) refuse(submission *Submission, route string, answer Answer, wait time.Duration) {
	c.emit(Reply{Waiter: submission.Waiter, Answer: answer, Route: route})
	c.recordDecision(Decision{
		Kind: DecidedRefused, Job: submission.Job.ID, Request: submission.Request, Outcome: answer.Outcome,
		Route: route, Reason: string(answer.Reason), Wait: wait, Targets: c.Targets(),
	})
}
