package heldjob

import (
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// ackAfterSave defers the acknowledgement of an event until a write has succeeded that
// makes it needless to keep: the next one, or the write of the job's outcome.
func (s *storedState) ackAfterSave(ack *eventAck) {
	if s.outcome != 0 && s.saving && !s.unsaved {
		s.savingAcks = append(s.savingAcks, ack)
		return
	}
	s.unsavedAcks = append(s.unsavedAcks, ack)
}

// endUnsaved reports whether a stored job has ended and its outcome is not in the job
// store yet. If this entry is lost before that, another one goes on with the job, so that
// the ends of the job's tasks still matter.
func (c *Core) endUnsaved(id work.JobID) bool {
	job, ok := c.jobs[id]
	return ok && job.hasEnded()
}

// TaskEndStored reports whether this entry owns the stored job of the task that ended,
// whether the end is written to the job store, and whether the task may have been started
// again since.
func (c *Core) TaskEndStored(end session.TaskEnd) (own, stored bool, since session.Relation) {
	job, ok := c.jobs[end.Task.Job]
	if !ok || job.stored == nil {
		return false, false, session.RelationUnknown
	}
	stored = job.includes(end) && !job.stored.saving && !job.stored.unsaved
	return true, stored, end.Epoch.Relate(job.stored.epoch)
}

// includes reports whether this entry has processed the end of a run of a task of the job,
// or the task is done, which leaves no use for the end.
func (j *job) includes(end session.TaskEnd) bool {
	if end.Task.Step < 0 || end.Task.Step >= len(j.steps) || end.Task.Index < 0 || end.Task.Index >= j.steps[end.Task.Step].Count {
		return false
	}
	if j.tasks.isDone(end.Task.Step, end.Task.Index) {
		return true
	}
	ended := j.tasks.find(end.Task.Step, end.Task.Index)
	return ended != nil && end.End == work.EndFailed && end.Attempt > 0 && ended.failures >= end.Attempt
}

// requestSave starts a write of a stored job's progress, or leaves it to the end of
// the write in flight.
func (c *Core) requestSave(job *job) {
	if job.stored == nil {
		return
	}
	job.stored.unsaved = true
	c.startSave(job)
}

// startSave starts a write if there are unsaved changes and no write is in flight.
func (c *Core) startSave(job *job) {
	stored := job.stored
	if stored.saving || !stored.unsaved {
		return
	}
	stored.saving = true
	stored.unsaved = false
	stored.confirming = stored.unconfirmed
	stored.savingEpoch = stored.epoch
	stored.savingAcks, stored.unsavedAcks = stored.unsavedAcks, nil
	if stored.outcome != 0 {
		c.emit(EndJob{Job: job.id, Outcome: stored.outcome, Epoch: stored.epoch})
		return
	}
	c.emit(SaveJob{Job: job.id, Route: job.route.Name, Memory: job.memory.bytes, Epoch: stored.epoch, Progress: c.progress(job)})
}

// progress returns the persistent state of the job.
func (c *Core) progress(job *job) Progress {
	progress := Progress{
		Failures:    make(map[work.TaskKey]int),
		Crashes:     make(map[work.TaskKey]int),
		Checkpoints: make(map[work.TaskKey]work.Checkpoint),
	}
	for step := range job.steps {
		for index := range job.steps[step].Count {
			key := work.TaskKey{Job: job.id, Step: step, Index: index}
			if job.tasks.isDone(step, index) {
				progress.Done = append(progress.Done, key)
			}
			if crashes := c.quarantine.Crashes(key); crashes > 0 {
				progress.Crashes[key] = crashes
			}
		}
	}
	for _, task := range job.tasks.states {
		if task.checkpoint != "" {
			progress.Checkpoints[task.key] = task.checkpoint
		}
		if task.failures > 0 {
			progress.Failures[task.key] = task.failures
		}
	}
	return progress
}

// Saved handles the result of a SaveJob or an EndJob. written is false if another
// entry has taken over or ended the job.
func (c *Core) Saved(id work.JobID, written bool) {
	job, ok := c.jobs[id]
	if !ok || job.stored == nil {
		return
	}
	if !written {
		c.Disown(id)
		return
	}
	stored := job.stored
	allowAcks(stored.savingAcks)
	stored.savingAcks = nil
	stored.saving = false
	stored.savedEpoch = stored.savingEpoch
	stored.unconfirmed = stored.unconfirmed && !stored.confirming
	stored.confirming = false
	if stored.outcome == 0 || stored.unsaved {
		c.startSave(job)
		return
	}
	c.answers.put(id, Answer{Outcome: stored.outcome})
	c.answerCancels(job, Answer{Outcome: Cancelled})
	c.remove(job)
}

// ReacquireJobs writes all stored jobs again after the entry has got a new owner
// identity. No task of a job is started before its write has succeeded. A job that
// another entry has taken over fails to be written and is disowned.
func (c *Core) ReacquireJobs() {
	for _, job := range c.jobs {
		if job.stored != nil {
			c.reacquire(job)
		}
	}
}

// ReacquireJob is ReacquireJobs for one job.
func (c *Core) ReacquireJob(id work.JobID) {
	if job, ok := c.jobs[id]; ok && job.stored != nil {
		c.reacquire(job)
	}
}

func (c *Core) reacquire(job *job) {
	if !job.stored.unconfirmed {
		job.stored.runsUntil = c.runsEnd()
	}
	job.stored.unconfirmed = true
	job.stored.confirming = false
	c.requestSave(job)
}

// allowAcks lets the events be acknowledged.
func allowAcks(acks []*eventAck) {
	for _, ack := range acks {
		ack.allowed = true
	}
}

// leaveAcks lets the events be acknowledged as ones that are not stored.
func leaveAcks(acks []*eventAck) {
	for _, ack := range acks {
		ack.leave()
	}
}

// SaveRejected handles a SaveJob or an EndJob that the job store will never accept. A job
// whose progress can't be stored fails: its events, which are not acknowledged before it
// is stored, would hold back those of all other jobs.
func (c *Core) SaveRejected(id work.JobID) {
	job, ok := c.jobs[id]
	if !ok || job.stored == nil {
		return
	}
	stored := job.stored
	stored.saving = false
	stored.confirming = false
	stored.unsavedAcks = append(stored.savingAcks, stored.unsavedAcks...)
	stored.savingAcks = nil
	if stored.outcome == 0 {
		c.end(job, Answer{Outcome: Failed, Reason: ReasonNotStorable})
		return
	}
	c.requestSave(job)
}
