package heldjob

import (
	"github.com/figring/figring/work"
)

// await ties an event of a stored job's task to the job's next write.
func (c *Core) await(placed *task, told *note) {
	if !told.settled {
		stored := c.jobs[placed.key.Job].kept
		stored.awaiting = append(stored.awaiting, told)
	}
}

// TaskEndStored reports whether a stored job is this entry's, and whether the end of a
// task of it is stored.
func (c *Core) TaskEndStored(key work.TaskKey) (own, stored bool) {
	job, ok := c.jobs[key.Job]
	if !ok || job.kept == nil {
		return false, false
	}
	for _, task := range job.tasks {
		if task.key == key {
			return true, task.phase == ended && !job.kept.saving && !job.kept.dirty
		}
	}
	return true, false
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
	c.ask(SaveJob{Job: job.id, Route: job.route.Name, Progress: job.progress()})
}

// progress returns what has to be stored of a job.
func (j *job) progress() Progress {
	progress := Progress{
		Failures:    make(map[work.TaskKey]int),
		Checkpoints: make(map[work.TaskKey]work.Checkpoint),
	}
	for _, task := range j.tasks {
		switch {
		case task.phase == ended:
			progress.Done = append(progress.Done, task.key)
		case task.checkpoint != "":
			progress.Checkpoints[task.key] = task.checkpoint
		}
		if task.failures > 0 {
			progress.Failures[task.key] = task.failures
		}
	}
	return progress
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

// ReacquireJobs writes all stored jobs anew: the entry has become another owner. Nothing
// of them is started before. Those that others have taken over are disowned by
// that.
func (c *Core) ReacquireJobs() {
	for _, job := range c.jobs {
		if job.kept != nil {
			c.reown(job)
		}
	}
}

// ReacquireJob does so with one job.
func (c *Core) ReacquireJob(id work.JobID) {
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
