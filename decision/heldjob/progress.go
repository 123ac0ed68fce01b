package heldjob

import (
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// StartReplied handles a sidecar's reply to a start request. Refused tasks are placed
// again.
func (c *Core) StartReplied(now time.Time, name string, request *session.StartRequest, reply *session.StartReply) {
	sidecar, ok := c.sidecars[name]
	if !ok {
		return
	}
	c.Updated(now, name, reply.State)
	refused := make(map[*job]bool)
	for i, started := range request.Tasks {
		if job := c.taskReplied(now, name, sidecar, started.Task, reply.Refusals[i]); job != nil {
			refused[job] = true
		}
	}
	for _, key := range reply.Queued {
		if placed, ok := sidecar.placed[key]; ok {
			placed.beginsAt = now.Add(storedMaxQueueWait + handBackMargin)
		}
	}
	for job := range refused {
		job.refusedReplies++
		if job.refusedReplies <= maxRefusedReplies && job.stored == nil {
			job.nextPlacement = time.Time{}
		}
		c.place(now, job)
	}
}

// taskReplied handles the reply for one task. It returns the task's job if the task
// was refused, otherwise nil.
func (c *Core) taskReplied(now time.Time, name string, sidecar *sidecar, key work.TaskKey, refusal session.Refusal) *job {
	placed, ok := sidecar.placed[key]
	if refusal == session.RefusedNone {
		c.startAccepted(now, name, key, ok)
		return nil
	}
	if !ok || placed.sidecar != name {
		return nil
	}
	job := c.jobs[key.Job]
	c.recordDecision(Decision{Kind: DecidedTaskFreed, Job: job.id, Task: key.Index, Sidecar: name, Reason: string(refusal)})
	c.unassign(sidecar, job, placed)
	if refusal == session.RefusedOtherEntry {
		placed.avoidSidecar(name)
	}
	return job
}

// startAccepted records that a sidecar accepted a task. If the job has ended
// meanwhile, its StopJob may have arrived before the start request, so it is sent
// again.
func (c *Core) startAccepted(now time.Time, name string, key work.TaskKey, placed bool) {
	job, open := c.jobs[key.Job]
	switch {
	case !open, job.hasEnded():
		c.stopJob(name, key.Job)
	case placed && job.stored != nil:
		c.sidecars[name].placed[key].beginsAt = now
	case placed:
		job.mayHaveRun = true
	}
}

// RunEnded handles the event that a run ended.
func (c *Core) RunEnded(now time.Time, name string, event session.Event) {
	sidecar, ok := c.sidecars[name]
	if !ok {
		return
	}
	placed, ok := sidecar.placed[event.Task]
	c.trackEnd(now, sidecar, &event, placed)
	if ok {
		c.recordRunTime(now, c.jobs[event.Task.Job], placed, event.End, event.RunTime)
		placed.checkpoint = work.NewestCheckpoint(placed.checkpoint, event.Checkpoint)
		c.countEarlierFailures(placed, &event)
		c.finishRun(now, name, placed, event.End)
	}
	sidecar.advanceAck()
}

// countEarlierFailures counts the failed runs of a stored task before one that has failed, as
// far as this entry was not told of them: they are those of an entry that was lost. Each
// submission of a best-effort job counts its own.
func (c *Core) countEarlierFailures(failed *task, event *session.Event) {
	if event.End == work.EndFailed && c.jobs[event.Task.Job].stored != nil {
		failed.failures = max(failed.failures, event.Attempt-1)
	}
}

// trackEnd decides when the event may be acknowledged. Placed is the task if the run is
// one of this entry's, otherwise nil. The end of any other may be one that another entry
// needs, which has taken its job over.
func (c *Core) trackEnd(now time.Time, sidecar *sidecar, event *session.Event, placed *task) {
	ack := sidecar.trackEvent(event.Number)
	used := placed != nil || c.endUnsaved(event.Task.Job)
	switch {
	case !mustStore(event.End):
		ack.allowed = true
	case !used && c.knownEnded(event.Task.Job):
		ack.allowed = true
	case !used:
		ack.leave()
	case c.jobs[event.Task.Job].stored != nil:
		c.jobs[event.Task.Job].stored.ackAfterSave(ack)
		if placed != nil {
			sidecar.recordTold(now, session.TaskEnd{Task: event.Task, End: event.End, Attempt: max(event.Attempt, placed.attempt()), Epoch: placed.epoch}, ack)
		}
	default:
		ack.allowed = true
	}
}

// knownEnded reports whether this entry owned the job and knows that it has ended.
func (c *Core) knownEnded(id work.JobID) bool {
	_, known := c.answers.get(id)
	return known
}

// finishRun updates a task whose run ended or must have expired, and its job.
func (c *Core) finishRun(now time.Time, name string, placed *task, end work.End) {
	sidecar := c.sidecars[name]
	job := c.jobs[placed.key.Job]
	c.unassign(sidecar, job, placed)
	if end != work.EndNotRun {
		job.mayHaveRun = true
	}
	switch end {
	case work.EndDone:
		c.taskDone(job, placed)
		c.placeAfterEnd(now, job)
		return
	case work.EndFailed:
		placed.failures++
		placed.avoidSidecar(name)
	case work.EndStuck, work.EndCrashed:
		placed.avoidSidecar(name)
	}
	c.recordDecision(Decision{Kind: DecidedTaskFreed, Job: job.id, Task: placed.key.Index, Sidecar: name, Reason: end.String()})
	if placed.failures >= max(job.route.Attempts, 1) {
		c.end(job, Answer{Outcome: Failed, Reason: ReasonTaskFailed})
		return
	}
	if end == work.EndFailed || end == work.EndCrashed {
		c.requestSave(job)
	}
	if c.endIfPoison(job) {
		return
	}
	job.nextPlacement = time.Time{}
	c.place(now, job)
}

// placeAfterEnd places tasks of a stored job after another task is done, which may
// have freed room or completed a step on which they depend.
func (c *Core) placeAfterEnd(now time.Time, job *job) {
	if job.stored != nil {
		job.nextPlacement = time.Time{}
		c.placeStored(now, job)
	}
}

// avoidSidecar makes placement use the sidecar for this task only if there is no
// other.
func (t *task) avoidSidecar(name string) {
	if t.avoidedSidecars == nil {
		t.avoidedSidecars = make(map[string]bool)
	}
	t.avoidedSidecars[name] = true
}

// unassign makes a task unplaced after its run ended or was never started.
func (c *Core) unassign(sidecar *sidecar, job *job, placed *task) {
	delete(sidecar.placed, placed.key)
	sidecar.candidate.Tasks--
	placed.phase = phaseUnplaced
	placed.sidecar = ""
	placed.beginsAt = time.Time{}
	job.unplacedTasks++
}

func (c *Core) taskDone(job *job, done *task) {
	done.phase = phaseDone
	if job.stored != nil {
		job.tasks.recordDone(job.steps, done.step, done.key.Index)
	}
	job.unplacedTasks--
	job.unfinishedTasks--
	job.unfinishedByStep[done.step]--
	if job.unfinishedTasks == 0 {
		c.end(job, Answer{Outcome: Completed})
		return
	}
	c.requestSave(job)
}

// giveUp ends a job before its tasks are done: it is refused if nothing of it can
// have run, otherwise given up.
func (c *Core) giveUp(job *job, reason Reason) {
	if !job.mayHaveRun && c.nothingPlaced(job) {
		c.end(job, Answer{Outcome: Refused, Reason: reason, RetryAfter: minRetryAfter})
		return
	}
	c.end(job, Answer{Outcome: GivenUp, Reason: reason, RetryAfter: minRetryAfter})
}

// end answers all callers of a job and stops its remaining runs.
func (c *Core) end(job *job, answer Answer) {
	if job.stored != nil {
		c.endStored(job, answer)
		return
	}
	for waiter := range job.waiters {
		c.emit(Reply{Waiter: waiter, Answer: answer, Route: job.route.Name})
	}
	if answer.Outcome == Completed || answer.Outcome == Failed || answer.Outcome == Cancelled {
		c.answers.put(job.id, answer)
	}
	c.recordDecision(Decision{Kind: DecidedAnswered, Job: job.id, Outcome: answer.Outcome, Reason: string(answer.Reason)})
	c.drop(job)
}

// drop removes a job and stops its runs.
func (c *Core) drop(job *job) {
	c.stopRuns(job)
	c.remove(job)
}

// stopRuns stops all runs of a job that has ended. Nothing of the job is placed after
// that, so that a later call finds no runs.
func (c *Core) stopRuns(job *job) {
	stopped := make(map[string]bool)
	for _, task := range job.tasks.states {
		if task.phase != phaseSent && task.phase != phaseLost {
			continue
		}
		name := task.sidecar
		sidecar := c.sidecars[name]
		delete(sidecar.placed, task.key)
		sidecar.candidate.Tasks--
		task.phase = phaseStopped
		task.sidecar = ""
		if !stopped[name] && sidecar.connected {
			stopped[name] = true
			c.stopJob(name, job.id)
		}
	}
}

// stopJob asks a sidecar to stop the runs of a job.
func (c *Core) stopJob(name string, job work.JobID) {
	c.emit(StopJob{Sidecar: name, Job: job, UpTo: c.sidecars[name].lastRequest})
}

// CallerGone records that a caller's connection ended. A best-effort job for which no
// other caller waits is stopped.
func (c *Core) CallerGone(id work.JobID, waiter uint64) {
	job, ok := c.jobs[id]
	if !ok || !job.waiters[waiter] {
		return
	}
	delete(job.waiters, waiter)
	if len(job.waiters) == 0 {
		c.recordDecision(Decision{Kind: DecidedAnswered, Job: id, Outcome: GivenUp, Reason: string(ReasonCallerGone)})
		c.drop(job)
	}
}

// Cancel cancels a best-effort job at the request of its caller. It reports whether
// the job was active or its answer is still cached.
func (c *Core) Cancel(id work.JobID) bool {
	job, ok := c.jobs[id]
	if ok && job.stored == nil {
		c.end(job, Answer{Outcome: Cancelled})
		return true
	}
	_, ok = c.answers.get(id)
	return ok
}

// State returns the answer of a job that has ended, or open for one that has not.
// begun reports whether a task counts as begun; known is false for an unknown job.
func (c *Core) State(now time.Time, id work.JobID) (answer Answer, begun, open, known bool) {
	if job, ok := c.jobs[id]; ok {
		return Answer{}, job.begun(now), true, true
	}
	answer, known = c.answers.get(id)
	return answer, true, false, known
}

// GiveUpAll gives up all best-effort jobs, and new jobs that are not stored yet, for a
// process that is about to exit. Every later submission of a new job is answered at once:
// it could not be pursued until its end.
func (c *Core) GiveUpAll(reason Reason) {
	c.exiting = true
	for _, job := range c.jobs {
		if job.stored == nil {
			c.giveUp(job, reason)
		}
	}
	for id := range c.pendingCreates {
		c.emit(AbandonCreate{Job: id})
	}
}
