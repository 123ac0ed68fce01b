package heldjob

import (
	"time"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/work"
)

// pendingCreate is a job that is being stored.
type pendingCreate struct {
	submission *Submission
	route      manifest.Route
	// waiters are the open requests by the time until which they wait.
	waiters map[uint64]time.Time
	// outcomeUnknown is true once a caller was told that the outcome is not known.
	outcomeUnknown bool
}

// SetStoreUnavailable says whether the store is known to be away.
func (c *Core) SetStoreUnavailable(out bool) { c.storeUnavailable = out }

// submitStored stores a job, or refuses it at once.
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
	if c.storeUnavailable {
		c.refuse(submission, route.Name, Answer{Outcome: Refused, Reason: ReasonStoreUnavailable, RetryAfter: minRetryAfter}, 0)
		return
	}
	if len(c.queue)+len(c.pendingCreates) >= maxStoredJobs {
		c.refuse(submission, route.Name, Answer{Outcome: Refused, Reason: ReasonTooManyJobs, RetryAfter: minRetryAfter}, 0)
		return
	}
	if wait, late := c.storedOverload(now, submission.Job, route); late {
		c.refuse(submission, route.Name, Answer{Outcome: Refused, Reason: ReasonOverload, RetryAfter: max(minRetryAfter, wait)}, wait)
		return
	}
	c.pendingCreates[id] = &pendingCreate{submission: submission, route: route, waiters: map[uint64]time.Time{submission.Waiter: until}}
	c.emit(CreateJob{Job: submission.Job, Route: route})
}

// storedOverload reports whether jobs that have just got room had waited for longer
// than the whole objective of the new one, and others still wait.
func (c *Core) storedOverload(now time.Time, submitted work.Job, route manifest.Route) (time.Duration, bool) {
	wait := c.queueDelay.Wait(now, route.Priority)
	objective := newUnplacedJob(now, submitted, route).objectiveEnd.Sub(now)
	return wait, wait > objective && c.hasWaitingJob(route.Priority)
}

// hasWaitingJob reports whether a stored job of the priority, or of a more urgent one,
// waits for its first room. Those that no minion may run don't count.
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

// replyAccepted answers a submission of a job that is stored.
func (c *Core) replyAccepted(submission *Submission) {
	c.emit(Reply{Waiter: submission.Waiter, Answer: Answer{Outcome: Accepted}})
	c.recordDecision(Decision{Kind: DecidedRepeated, Job: submission.Job.ID, Request: submission.Request, Outcome: Accepted})
}

// Created takes the outcome of a CreateJob. A job that was not written is known
// to the system already: it was accepted before.
func (c *Core) Created(now time.Time, id work.JobID, written bool, accepted time.Time) {
	create, ok := c.pendingCreates[id]
	if !ok {
		return
	}
	delete(c.pendingCreates, id)
	if written {
		c.AddStoredJob(now, StoredJob{Job: create.submission.Job, Route: create.route, Accepted: accepted})
	}
	c.recordDecision(Decision{Kind: DecidedAdmitted, Job: id, Request: create.submission.Request, Route: create.route.Name, Outcome: Accepted})
	for waiter := range create.waiters {
		c.emit(Reply{Waiter: waiter, Answer: Answer{Outcome: Accepted}, Route: create.route.Name})
	}
}

// CreateAbandoned takes the outcome of an AbandonJob. A job that was sent to the store
// may be there: its callers are told that the outcome is not known.
func (c *Core) CreateAbandoned(id work.JobID, notSent bool) {
	create, ok := c.pendingCreates[id]
	if !ok {
		return
	}
	answer := Answer{Outcome: GivenUp, Reason: ReasonStoreUnavailable, RetryAfter: minRetryAfter}
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
		delete(c.pendingCreates, id)
	}
}
