package heldjob

import (
	"time"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// pendingCreate is a job whose CreateJob has not been answered.
type pendingCreate struct {
	submission *Submission
	route      manifest.Route
	// waiters maps each open request to the time until which its caller waits.
	waiters map[uint64]time.Time
	// outcomeUnknown is true once a caller was answered that it is unknown whether the
	// job was stored.
	outcomeUnknown bool
}

// SetStoreUnavailable sets whether the job store is known to be unavailable. New jobs
// that have to be stored are refused meanwhile.
func (c *Core) SetStoreUnavailable(unavailable bool) { c.storeUnavailable = unavailable }

// submitStored starts to store a job, or refuses it immediately.
func (c *Core) submitStored(now time.Time, submission *Submission, route manifest.Route) {
	id := submission.Job.ID
	until := now.Add(defaultCallerTimeout)
	if submission.CallerTimeout > 0 {
		until = now.Add(submission.CallerTimeout - answerMargin)
	}
	if create, ok := c.pendingCreates[id]; ok {
		create.waiters[submission.Waiter] = until
		c.recordDecision(Decision{Kind: DecidedJoined, Job: id, Request: submission.Request})
		return
	}
	if answer, wait := c.storedRefusal(now, submission.Job, route); answer.Outcome != 0 {
		c.refuse(submission, route.Name, answer, wait)
		return
	}
	c.memory.reserve(id, memoryPart{bytes: MemoryOf(&submission.Job)})
	c.pendingCreates[id] = &pendingCreate{submission: submission, route: route, waiters: map[uint64]time.Time{submission.Waiter: until}}
	c.emit(CreateJob{Job: submission.Job, Route: route})
}

// storedRefusal returns the answer to a new job that is refused rather than stored; its
// Outcome is 0 if the job should be stored. It also returns the expected wait for room if
// that is why.
func (c *Core) storedRefusal(now time.Time, submitted work.Job, route manifest.Route) (Answer, time.Duration) {
	if c.storeUnavailable || c.releasing {
		return Answer{Outcome: Refused, Reason: c.notStoringReason(), RetryAfter: minRetryAfter}, 0
	}
	if len(c.queue)+len(c.pendingCreates) >= maxStoredJobs {
		return Answer{Outcome: Refused, Reason: ReasonTooManyJobs, RetryAfter: minRetryAfter}, 0
	}
	if !c.memory.fitsNew(MemoryOf(&submitted)) {
		return jobMemoryAnswer, 0
	}
	if wait, late := c.storedOverload(now, submitted, route); late {
		return Answer{Outcome: Refused, Reason: ReasonOverload, RetryAfter: max(minRetryAfter, wait)}, wait
	}
	return Answer{}, 0
}

// notStoringReason returns why the entry stores no new job.
func (c *Core) notStoringReason() Reason {
	if c.releasing {
		return ReasonDraining
	}
	return ReasonStoreUnavailable
}

// storedOverload returns the expected wait for room of a new job. It reports true if
// that wait, estimated from the jobs placed last, is longer than the whole objective
// of the new job while others still wait.
func (c *Core) storedOverload(now time.Time, submitted work.Job, route manifest.Route) (time.Duration, bool) {
	wait := c.queueDelay.ExpectedWait(now, route.Priority)
	objective := newUnplacedJob(now, submitted, route).objectiveEnd.Sub(now)
	return wait, wait > objective && c.hasWaitingJob(route.Priority)
}

// hasWaitingJob reports whether a stored job of the priority or of a more urgent one
// has no task placed yet. Jobs that no minion may run at present don't count.
func (c *Core) hasWaitingJob(priority int) bool {
	for _, job := range c.queue {
		if job.route.Priority > priority {
			return false
		}
		if !job.stored.placed && job.stored.lastPlacement != placementNoMinion {
			return true
		}
	}
	return false
}

// replyAccepted answers a repeated submission of a job that is stored.
func (c *Core) replyAccepted(submission *Submission) {
	c.emit(Reply{Waiter: submission.Waiter, Answer: Answer{Outcome: Accepted}})
	c.recordDecision(Decision{Kind: DecidedRepeated, Job: submission.Job.ID, Request: submission.Request, Outcome: Accepted})
}

// Created handles the result of a CreateJob. written is false if the job was in the
// job store already: it was accepted before.
func (c *Core) Created(now time.Time, id work.JobID, written bool, accepted time.Time) {
	create, ok := c.pendingCreates[id]
	if !ok {
		return
	}
	c.dropCreate(id)
	if written {
		c.AddStoredJob(now, StoredJob{Job: create.submission.Job, Route: create.route, Accepted: accepted, Epoch: session.FirstEpoch})
	}
	c.recordDecision(Decision{Kind: DecidedAdmitted, Job: id, Request: create.submission.Request, Route: create.route.Name, Outcome: Accepted})
	for waiter := range create.waiters {
		c.emit(Reply{Waiter: waiter, Answer: Answer{Outcome: Accepted}, Route: create.route.Name})
	}
}

// CreateAbandoned handles the result of an AbandonCreate. If the write was sent, the
// job may be stored: its callers are answered GivenUp, since the outcome is unknown.
func (c *Core) CreateAbandoned(id work.JobID, notSent bool) {
	create, ok := c.pendingCreates[id]
	if !ok {
		return
	}
	answer := Answer{Outcome: GivenUp, Reason: c.notStoringReason(), RetryAfter: minRetryAfter}
	if notSent && !create.outcomeUnknown {
		answer.Outcome = Refused
	}
	for waiter := range create.waiters {
		c.emit(Reply{Waiter: waiter, Answer: answer, Route: create.route.Name})
		c.recordDecision(Decision{
			Kind: DecidedRefused, Job: id, Request: create.submission.Request, Route: create.route.Name,
			Outcome: answer.Outcome, Reason: string(answer.Reason),
		})
	}
	clear(create.waiters)
	create.outcomeUnknown = true
	if notSent {
		c.dropCreate(id)
	}
}

// dropCreate forgets a CreateJob whose result is known.
func (c *Core) dropCreate(id work.JobID) {
	delete(c.pendingCreates, id)
	c.memory.release(id)
}

// CreateRejected handles a CreateJob that the job store will never accept. The job is
// refused, and its callers are not asked to try again.
func (c *Core) CreateRejected(id work.JobID) {
	create, ok := c.pendingCreates[id]
	if !ok {
		return
	}
	c.dropCreate(id)
	for waiter := range create.waiters {
		c.emit(Reply{Waiter: waiter, Answer: Answer{Outcome: Refused, Reason: ReasonNotStorable}, Route: create.route.Name})
	}
	c.recordDecision(Decision{
		Kind: DecidedRefused, Job: id, Request: create.submission.Request, Route: create.route.Name,
		Outcome: Refused, Reason: string(ReasonNotStorable),
	})
}
