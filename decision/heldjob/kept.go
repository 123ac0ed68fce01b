package heldjob

import (
	"cmp"
	"slices"
	"time"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/work"
)

// kept is what a stored job has besides.
type kept struct {
	// accepted is the time of day of the acceptance.
	accepted time.Time
	// saving is true while a write is under way, dirty when there is more to
	// store after it.
	saving, dirty bool
	// unsure means that another entry may have taken the job over: the entry has
	// lost its ownership and has to write the job anew. confirming means that the
	// write under way does that.
	unsure, confirming bool
	// outcome is set once the job has ended; it is stored then and told later.
	outcome Outcome
	// awaiting are the events that the next write stores, underWay those of the
	// present one.
	awaiting, underWay []*note
	// cancels are the waiting requests to cancel the job.
	cancels map[uint64]bool
}

// storing is a job that is being stored.
type storing struct {
	submission *Submission
	route      manifest.Route
	// waiters are the open requests by the time until which they wait.
	waiters map[uint64]time.Time
	// unknown is true once a caller was told that the outcome is not known.
	unknown bool
}

// KeptJob is a stored job that this entry owns.
type KeptJob struct {
	Job      work.Job
	Route    manifest.Route
	Accepted time.Time
	Done     func(step, index int) bool
	Failures map[work.TaskKey]int
}

// SetOwning says whether the entry's stored jobs are its own for certain. While
// they are not, no task of them is started.
func (c *Core) SetOwning(owning bool) { c.owning = owning }

// SetStoreOut says whether the store is known to be away.
func (c *Core) SetStoreOut(out bool) { c.storeOut = out }

// submitKept stores a job, or refuses it at once.
func (c *Core) submitKept(now time.Time, submission *Submission, route manifest.Route) {
	id := submission.Job.ID
	until := now.Add(defaultPatience)
	if submission.Patience > 0 {
		until = now.Add(submission.Patience - answerMargin)
	}
	if under, ok := c.storing[id]; ok {
		under.waiters[submission.Waiter] = until
		c.decided(Decision{Kind: DecidedJoined, Job: id, Request: submission.Request})
		return
	}
	if c.storeOut {
		c.refuse(submission, route.Name, Answer{Outcome: Refused, Reason: ReasonStoreOut, RetryAfter: minRetryAfter}, 0)
		return
	}
	if len(c.queue)+len(c.storing) >= maxKeptJobs {
		c.refuse(submission, route.Name, Answer{Outcome: Refused, Reason: ReasonTooMany, RetryAfter: minRetryAfter}, 0)
		return
	}
	c.storing[id] = &storing{submission: submission, route: route, waiters: map[uint64]time.Time{submission.Waiter: until}}
	c.ask(CreateJob{Job: submission.Job, Route: route})
}

// accepted answers a submission of a job that is stored.
func (c *Core) accepted(submission *Submission) {
	c.ask(Reply{Waiter: submission.Waiter, Answer: Answer{Outcome: Accepted}})
	c.decided(Decision{Kind: DecidedRepeated, Job: submission.Job.ID, Request: submission.Request, Outcome: Accepted})
}

// Created takes the outcome of a CreateJob. A job that was not written is known
// to the system already: it was accepted before.
func (c *Core) Created(now time.Time, id work.JobID, written bool, accepted time.Time) {
	under, ok := c.storing[id]
	if !ok {
		return
	}
	delete(c.storing, id)
	if written {
		c.Keep(now, KeptJob{Job: under.submission.Job, Route: under.route, Accepted: accepted})
	}
	c.decided(Decision{Kind: DecidedAdmitted, Job: id, Request: under.submission.Request, Route: under.route.Name, Outcome: Accepted})
	for waiter := range under.waiters {
		c.ask(Reply{Waiter: waiter, Answer: Answer{Outcome: Accepted}, Route: under.route.Name})
	}
}

// Abandoned takes the outcome of an AbandonJob. A job that was sent to the store
// may be there: its callers are told that the outcome is not known.
func (c *Core) Abandoned(id work.JobID, notSent bool) {
	under, ok := c.storing[id]
	if !ok {
		return
	}
	answer := Answer{Outcome: GivenUp, Reason: ReasonStoreOut, RetryAfter: minRetryAfter}
	if notSent && !under.unknown {
		answer.Outcome = Refused
	}
	for waiter := range under.waiters {
		c.ask(Reply{Waiter: waiter, Answer: answer, Route: under.route.Name})
		c.decided(Decision{
			Kind: DecidedRefused, Job: id, Request: under.submission.Request, Route: under.route.Name,
			Outcome: answer.Outcome, Reason: string(answer.Reason),
		})
	}
	clear(under.waiters)
	under.unknown = true
	if notSent {
		delete(c.storing, id)
	}
}

// Keep takes a stored job to run.
func (c *Core) Keep(now time.Time, stored KeptJob) {
	if _, known := c.jobs[stored.Job.ID]; known {
		return
	}
	taken := plainJob(now, stored.Job, stored.Route)
	taken.kept = &kept{accepted: stored.Accepted, cancels: make(map[uint64]bool)}
	for _, task := range taken.tasks {
		task.failures = stored.Failures[task.key]
		if stored.Done != nil && stored.Done(task.key.Step, task.key.Index) {
			task.phase = ended
			taken.begun = true
			taken.unplacedLeft--
			taken.openLeft--
			taken.openOf[task.step]--
		}
		taken.begun = taken.begun || task.failures > 0
	}
	c.jobs[taken.id] = taken
	at, _ := slices.BinarySearchFunc(c.queue, taken, compareJobs)
	c.queue = slices.Insert(c.queue, at, taken)
	if !c.endIfOver(taken) {
		c.placeKept(now, taken)
	}
}

// endIfOver ends a job whose tasks were all done, or had failed, when it was
// taken over.
func (c *Core) endIfOver(taken *job) bool {
	for _, task := range taken.tasks {
		if task.phase != ended && task.failures >= max(taken.route.Attempts, 1) {
			c.end(taken, Answer{Outcome: Failed, Reason: ReasonTaskFailed})
			return true
		}
	}
	if taken.openLeft == 0 {
		c.end(taken, Answer{Outcome: Completed})
		return true
	}
	return false
}

// compareJobs orders stored jobs by priority, then by age.
func compareJobs(one, other *job) int {
	return cmp.Or(
		cmp.Compare(one.route.Priority, other.route.Priority),
		one.kept.accepted.Compare(other.kept.accepted),
		cmp.Compare(one.id, other.id),
	)
}

// await ties an event of a stored job's task to the job's next write.
func (c *Core) await(placed *task, told *note) {
	if !told.settled {
		stored := c.jobs[placed.key.Job].kept
		stored.awaiting = append(stored.awaiting, told)
	}
}

// changed asks for a stored job's progress to be written.
func (c *Core) changed(job *job) {
	if job.kept == nil {
		return
	}
	job.kept.dirty = true
	c.flush(job)
}

// flush begins a write when there is something to store and none is under way.
func (c *Core) flush(job *job) {
	stored := job.kept
	if stored.saving || !stored.dirty {
		return
	}
	stored.saving = true
	stored.dirty = false
	stored.confirming = stored.unsure
	stored.underWay, stored.awaiting = stored.awaiting, nil
	if stored.outcome != 0 {
		c.ask(EndJob{Job: job.id, Outcome: stored.outcome})
		return
	}
	c.ask(SaveJob{Job: job.id, Progress: job.progress()})
}

// progress returns what has to be stored of a job.
func (j *job) progress() Progress {
	progress := Progress{Failures: make(map[work.TaskKey]int)}
	for _, task := range j.tasks {
		if task.phase == ended {
			progress.Done = append(progress.Done, task.key)
		}
		if task.failures > 0 {
			progress.Failures[task.key] = task.failures
		}
	}
	return progress
}

// endKept ends a stored job: its runs are stopped, and its end is told once it
// is stored.
func (c *Core) endKept(job *job, answer Answer) {
	if job.kept.outcome != 0 {
		return
	}
	job.kept.outcome = answer.Outcome
	c.decided(Decision{Kind: DecidedAnswered, Job: job.id, Outcome: answer.Outcome, Reason: string(answer.Reason)})
	c.stopRuns(job)
	c.unqueue(job)
	job.unplacedLeft = 0
	c.changed(job)
}

func (c *Core) unqueue(job *job) {
	at, found := slices.BinarySearchFunc(c.queue, job, compareJobs)
	if found {
		c.queue = slices.Delete(c.queue, at, at+1)
	}
}

// Saved takes the outcome of a SaveJob or an EndJob.
func (c *Core) Saved(id work.JobID, written bool) {
	job, ok := c.jobs[id]
	if !ok || job.kept == nil {
		return
	}
	if !written {
		c.Disown(id)
		return
	}
	stored := job.kept
	settle(stored.underWay)
	stored.underWay = nil
	stored.saving = false
	stored.unsure = stored.unsure && !stored.confirming
	stored.confirming = false
	if stored.outcome == 0 || stored.dirty {
		c.flush(job)
		return
	}
	c.recent.put(id, Answer{Outcome: stored.outcome})
	c.answerCancels(job, Answer{Outcome: Cancelled})
	delete(c.jobs, id)
}

// Reown writes all stored jobs anew: the entry has become another owner. Nothing
// of them is started before. Those that others have taken over are disowned by
// that.
func (c *Core) Reown() {
	for _, job := range c.jobs {
		if job.kept != nil {
			c.reown(job)
		}
	}
}

// ReownJob does so with one job.
func (c *Core) ReownJob(id work.JobID) {
	if job, ok := c.jobs[id]; ok && job.kept != nil {
		c.reown(job)
	}
}

func (c *Core) reown(job *job) {
	job.kept.unsure = true
	job.kept.confirming = false
	c.changed(job)
}

func settle(notes []*note) {
	for _, one := range notes {
		one.settled = true
	}
}

// Disown forgets a stored job that another entry has taken over or ended. What
// runs of it is stopped.
func (c *Core) Disown(id work.JobID) {
	job, ok := c.jobs[id]
	if !ok || job.kept == nil {
		return
	}
	c.decided(Decision{Kind: DecidedDisowned, Job: id})
	settle(job.kept.underWay)
	settle(job.kept.awaiting)
	c.answerCancels(job, Answer{Outcome: GivenUp})
	c.unqueue(job)
	c.drop(job)
}

// CancelKept cancels a stored job of this entry. The waiter is answered once
// that is stored. It reports false when the job is not this entry's.
func (c *Core) CancelKept(id work.JobID, waiter uint64) bool {
	job, ok := c.jobs[id]
	if !ok || job.kept == nil {
		return false
	}
	job.kept.cancels[waiter] = true
	c.endKept(job, Answer{Outcome: Cancelled})
	return true
}

func (c *Core) answerCancels(job *job, answer Answer) {
	for waiter := range job.kept.cancels {
		c.ask(Reply{Waiter: waiter, Answer: answer, Route: job.route.Name})
	}
}

// KeptJobs returns the stored jobs of this entry.
func (c *Core) KeptJobs() []work.JobID {
	var ids []work.JobID
	for id, job := range c.jobs {
		if job.kept != nil {
			ids = append(ids, id)
		}
	}
	return ids
}
