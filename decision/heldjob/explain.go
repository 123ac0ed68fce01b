package heldjob

import (
	"math/rand/v2"
	"time"
)

const (
	// maxExplainedTasks bounds the tasks in an Explanation.
	maxExplainedTasks = 64
	// maxComparedTasks bounds the tasks for which the compared sidecars are listed.
	maxComparedTasks = 16
)

// Explain says what Submit would do with the submission of a new job now, and changes
// nothing. The load of the classes and the plan are those that Submit would use, except that
// the capacity is not divided among the classes anew.
func (c *Core) Explain(now time.Time, submission *Submission) Explanation {
	explained := Explanation{Targets: c.Targets(), Settling: c.Settling(now), TaskCount: submission.Job.Tasks()}
	explained.Route, explained.Answer = c.match(submission)
	if explained.Answer.Outcome != 0 {
		return explained
	}
	explained.Stored = !submission.Job.BestEffort
	if explained.Answer = c.rejection(submission, explained.Route); explained.Answer.Outcome != 0 {
		return explained
	}
	job := newBestEffortJob(now, submission, explained.Route)
	random := c.chooser.Random
	c.chooser.Random = rand.New(rand.NewPCG(uint64(now.UnixNano()), 0))
	c.chooser.Explained = maxComparedTasks
	defer func() { c.chooser.Random, c.chooser.Explained = random, 0 }()
	if explained.Stored {
		job.stored = &storedState{}
		c.explainStored(now, job, submission, &explained)
	} else {
		c.explainBestEffort(now, job, &explained)
	}
	return explained
}

// explainBestEffort explains what admit would do.
func (c *Core) explainBestEffort(now time.Time, job *job, explained *Explanation) {
	explained.Slack = job.slack(now)
	explained.MaxWait = c.planLimit(now, job)
	explained.Class = c.classLoad.View(now, classOf(job))
	explained.Answer = c.hopeless(now, job)
	explained.Shed = explained.Answer.Outcome == 0 && c.wouldShed(now, job)
	planned := c.plan(now, job, c.wouldConfine(now, job))
	if planned.complete || planned.trial {
		c.undoChoices(planned)
	}
	explained.WaitFactor, explained.Wait, explained.Age = planned.waitFactor, planned.wait, planned.age
	explained.addTasks(now, &planned)
	switch {
	case explained.Answer.Outcome != 0:
	case explained.Shed:
		explained.Answer = Answer{Outcome: Refused, Reason: ReasonOverload, RetryAfter: c.expectRetry(now, job, 0)}
	case c.lacksRoom(now, job, &planned):
		explained.Answer = Answer{Outcome: Refused, Reason: planned.reason, RetryAfter: c.expectRetry(now, job, planned.wait)}
	}
}

// explainStored explains what submitStored would do, and where the tasks would be placed if
// the job were the first of the queue.
func (c *Core) explainStored(now time.Time, job *job, submission *Submission, explained *Explanation) {
	explained.Slack = job.slack(now)
	explained.MaxWait, explained.WaitFactor = storedMaxExpectedWait, 1
	explained.Wait = c.queueDelay.ExpectedWait(now, job.route.Priority)
	explained.Answer, _ = c.storedRefusal(now, submission.Job, job.route)
	if explained.Answer.Outcome == 0 {
		explained.Answer.Outcome = Accepted
	}
	planned, _ := c.planStored(now, job, c.wouldConfine(now, job))
	c.undoChoices(planned)
	explained.addTasks(now, &planned)
	for _, chosen := range planned.choices {
		explained.Age = max(explained.Age, now.Sub(chosen.choice.Candidate.StateAt))
	}
}

// wouldConfine returns what confinedRoutes would return after the submission of the job.
func (c *Core) wouldConfine(now time.Time, job *job) map[string]bool {
	service := job.route.Service
	return c.quarantine.WouldConfine(now, service, job.route.Name, c.sidecarCount(service))
}

// addTasks adds the tasks of a plan, up to maxExplainedTasks.
func (e *Explanation) addTasks(now time.Time, planned *plan) {
	for _, chosen := range planned.unplaced[:min(len(planned.unplaced), maxExplainedTasks/2)] {
		e.Tasks = append(e.Tasks, explainTask(now, chosen, false))
	}
	for _, chosen := range planned.choices[:min(len(planned.choices), maxExplainedTasks-len(e.Tasks))] {
		e.Tasks = append(e.Tasks, explainTask(now, chosen, true))
	}
}

func explainTask(now time.Time, planned plannedTask, placed bool) ExplainedTask {
	explained := ExplainedTask{Task: planned.task.key, Placed: placed, Wait: planned.choice.Wait}
	if planned.choice.Candidate != nil {
		explained.Sidecar = planned.choice.Candidate.Name
	}
	for _, compared := range planned.choice.Assessed {
		explained.Candidates = append(explained.Candidates, ExplainedCandidate{
			Sidecar: compared.Candidate.Name, Zone: compared.Candidate.Zone,
			Age: now.Sub(compared.Candidate.StateAt), Assessment: compared.Assessment,
		})
	}
	return explained
}
