package heldjob

import (
	"time"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/work"
)

// storing is a job that is being stored.
type storing struct {
	submission *Submission
	route      manifest.Route
	// waiters are the open requests by the time until which they wait.
	waiters map[uint64]time.Time
	// unknown is true once a caller was told that the outcome is not known.
	unknown bool
}

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
	if wait, late := c.keptTooLate(now, submission.Job, route); late {
		c.refuse(submission, route.Name, Answer{Outcome: Refused, Reason: ReasonOverload, RetryAfter: max(minRetryAfter, wait)}, wait)
		return
	}
	c.storing[id] = &storing{submission: submission, route: route, waiters: map[uint64]time.Time{submission.Waiter: until}}
	c.ask(CreateJob{Job: submission.Job, Route: route})
}

// keptTooLate reports whether jobs that have just got room had waited for longer
// than the whole objective of the new one, and others still wait.
func (c *Core) keptTooLate(now time.Time, asked work.Job, route manifest.Route) (time.Duration, bool) {
	wait := c.delay.ExpectedWait(now, route.Priority)
	objective := plainJob(now, asked, route).goal.Sub(now)
	return wait, wait > objective && c.someWait(route.Priority)
}

// someWait reports whether a stored job of the priority, or of a more urgent one,
// waits for its first room. Those that no minion may run don't count.
func (c *Core) someWait(priority int) bool {
	for _, job := range c.queue {
		if job.route.Priority > priority {
			return false
		}
		if !job.kept.entered && job.kept.fit != fitNowhere {
			return true
		}
	}
	return false
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
