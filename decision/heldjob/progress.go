package heldjob

import (
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// StartReplied takes a sidecar's answer to an order.
func (c *Core) StartReplied(now time.Time, name string, request *session.StartRequest, reply *session.StartReply) {
	known, ok := c.sidecars[name]
	if !ok {
		return
	}
	c.Updated(now, name, reply.State)
	refused := make(map[*job]bool)
	for i, ordered := range request.Tasks {
		if job := c.orderedOne(name, known, ordered.Task, reply.Refusals[i]); job != nil {
			refused[job] = true
		}
	}
	for job := range refused {
		job.bounces++
		if job.bounces <= maxBounces && job.kept == nil {
			job.nextTry = time.Time{}
		}
		c.place(now, job)
	}
}

// orderedOne takes the answer about one task and returns its job when the task
// was refused.
func (c *Core) orderedOne(name string, known *sidecar, key work.TaskKey, refusal session.Refusal) *job {
	placed, ok := known.placed[key]
	if refusal == session.RefusedNone {
		c.orderTaken(name, key, ok)
		return nil
	}
	if !ok || placed.sidecar != name {
		return nil
	}
	job := c.jobs[key.Job]
	c.decided(Decision{Kind: DecidedTaskFreed, Job: job.id, Task: key.Index, Sidecar: name, Reason: string(refusal)})
	c.free(known, job, placed)
	if refusal == session.RefusedTaken {
		placed.avoid(name)
	}
	return job
}

// orderTaken takes note that a sidecar has taken an order. One of a job that has
// ended since was overtaken by the stop of the job, which is sent again.
func (c *Core) orderTaken(name string, key work.TaskKey, placed bool) {
	job, open := c.jobs[key.Job]
	switch {
	case !open:
		c.ask(StopJob{Sidecar: name, Job: key.Job})
	case placed:
		job.begun = true
	}
}

// RunEnded takes the end of a run.
func (c *Core) RunEnded(now time.Time, name string, event session.Event) {
	known, ok := c.sidecars[name]
	if !ok {
		return
	}
	placed, ok := known.placed[event.Task]
	told := known.told(event.Number, ok && c.jobs[event.Task.Job].kept != nil && decides(event.End))
	if ok {
		placed.checkpoint = work.NewestCheckpoint(placed.checkpoint, event.Checkpoint)
		c.await(placed, told)
		c.runEnded(now, name, placed, event.End)
	}
	known.advance()
}

func (c *Core) runEnded(now time.Time, name string, placed *task, end work.End) {
	known := c.sidecars[name]
	job := c.jobs[placed.key.Job]
	c.free(known, job, placed)
	if end != work.EndNotRun {
		job.begun = true
	}
	switch end {
	case work.EndDone:
		c.taskDone(job, placed)
		c.placeNext(now, job)
		return
	case work.EndFailed:
		placed.failures++
		placed.avoid(name)
	case work.EndStuck:
		placed.avoid(name)
	}
	c.decided(Decision{Kind: DecidedTaskFreed, Job: job.id, Task: placed.key.Index, Sidecar: name, Reason: end.String()})
	if placed.failures >= max(job.route.Attempts, 1) {
		c.end(job, Answer{Outcome: Failed, Reason: ReasonTaskFailed})
		return
	}
	if end == work.EndFailed {
		c.changed(job)
	}
	job.nextTry = time.Time{}
	c.place(now, job)
}

// placeNext places tasks of a stored job for which room or their turn may have
// come by the end of another one.
func (c *Core) placeNext(now time.Time, job *job) {
	if job.kept != nil {
		job.nextTry = time.Time{}
		c.placeKept(now, job)
	}
}

func (t *task) avoid(name string) {
	if t.avoided == nil {
		t.avoided = make(map[string]bool)
	}
	t.avoided[name] = true
}

// free makes a task unplaced: its run is over or never began.
func (c *Core) free(known *sidecar, job *job, placed *task) {
	delete(known.placed, placed.key)
	placed.phase = unplaced
	placed.sidecar = ""
	job.unplacedLeft++
}

func (c *Core) taskDone(job *job, done *task) {
	done.phase = ended
	job.unplacedLeft--
	job.openLeft--
	job.openOf[done.step]--
	if job.openLeft == 0 {
		c.end(job, Answer{Outcome: Completed})
		return
	}
	c.changed(job)
}

// giveUp ends a job that can't be answered in time.
func (c *Core) giveUp(job *job, reason Reason) {
	if !job.begun && c.untouched(job) {
		c.end(job, Answer{Outcome: Refused, Reason: reason, RetryAfter: minRetryAfter})
		return
	}
	c.end(job, Answer{Outcome: GivenUp, Reason: reason, RetryAfter: minRetryAfter})
}

// end answers all callers of a job and stops what is left of it.
func (c *Core) end(job *job, answer Answer) {
	if job.kept != nil {
		c.endKept(job, answer)
		return
	}
	for waiter := range job.waiters {
		c.ask(Reply{Waiter: waiter, Answer: answer, Route: job.route.Name})
	}
	if answer.Outcome == Completed || answer.Outcome == Failed || answer.Outcome == Cancelled {
		c.recent.put(job.id, answer)
	}
	c.decided(Decision{Kind: DecidedAnswered, Job: job.id, Outcome: answer.Outcome, Reason: string(answer.Reason)})
	c.drop(job)
}

// drop forgets a job and stops its runs.
func (c *Core) drop(job *job) {
	c.stopRuns(job)
	delete(c.jobs, job.id)
}

// stopRuns stops all runs of a job.
func (c *Core) stopRuns(job *job) {
	stopped := make(map[string]bool)
	for _, task := range job.tasks {
		if task.phase != ordered && task.phase != lost {
			continue
		}
		name := task.sidecar
		delete(c.sidecars[name].placed, task.key)
		if !stopped[name] && c.sidecars[name].connected {
			stopped[name] = true
			c.ask(StopJob{Sidecar: name, Job: job.id})
		}
	}
}

// CallerGone takes the end of a caller's connection. A job that nobody waits
// for is stopped.
func (c *Core) CallerGone(id work.JobID, waiter uint64) {
	job, ok := c.jobs[id]
	if !ok || !job.waiters[waiter] {
		return
	}
	delete(job.waiters, waiter)
	if len(job.waiters) == 0 {
		c.decided(Decision{Kind: DecidedAnswered, Job: id, Outcome: GivenUp, Reason: string(ReasonCallerGone)})
		c.drop(job)
	}
}

// Cancel ends a job on its caller's order and reports whether it is known.
func (c *Core) Cancel(id work.JobID) bool {
	job, ok := c.jobs[id]
	if ok && job.kept == nil {
		c.end(job, Answer{Outcome: Cancelled})
		return true
	}
	_, ok = c.recent.get(id)
	return ok
}

// State returns the answer of an ended job, or whether it is under way.
func (c *Core) State(id work.JobID) (answer Answer, begun, open, known bool) {
	if job, ok := c.jobs[id]; ok {
		return Answer{}, job.begun, true, true
	}
	answer, known = c.recent.get(id)
	return answer, true, false, known
}

// GiveUpAll ends all jobs: the entry is about to end.
func (c *Core) GiveUpAll(reason Reason) {
	for _, job := range c.jobs {
		if job.kept == nil {
			c.giveUp(job, reason)
		}
	}
}
