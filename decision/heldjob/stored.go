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
	// fit is what the job found when it looked for room last.
	fit fit
	// entered is true once a task of the job has been placed.
	entered bool
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

// StoredJob is a stored job that this entry owns.
type StoredJob struct {
	Job      work.Job
	Route    manifest.Route
	Accepted time.Time
	Done     func(step, index int) bool
	Failures map[work.TaskKey]int
	// Checkpoints are saved work of tasks that are not done.
	Checkpoints map[work.TaskKey]work.Checkpoint
}

// SetOwnership says whether the entry's stored jobs are its own for certain. While
// they are not, no task of them is started.
func (c *Core) SetOwnership(now time.Time, owning bool) {
	if owning && !c.owning {
		c.owningSince = now
	}
	c.owning = owning
}

// mayGiveUp reports whether tasks of stored jobs may be given up at a sidecar
// that has been lost for long. An entry that was cut off itself finds it again
// before that.
func (c *Core) mayGiveUp(now time.Time) bool {
	return c.owning && now.Sub(c.owningSince) > reconnectTime
}

// AddStoredJob takes a stored job to run.
func (c *Core) AddStoredJob(now time.Time, stored StoredJob) {
	if _, known := c.jobs[stored.Job.ID]; known {
		return
	}
	taken := plainJob(now, stored.Job, stored.Route)
	taken.kept = &kept{accepted: stored.Accepted, cancels: make(map[uint64]bool)}
	for _, task := range taken.tasks {
		task.failures = stored.Failures[task.key]
		task.checkpoint = stored.Checkpoints[task.key]
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
	othersWait := c.someWait(taken.route.Priority)
	at, _ := slices.BinarySearchFunc(c.queue, taken, compareJobs)
	c.queue = slices.Insert(c.queue, at, taken)
	if !c.endIfOver(taken) && !othersWait {
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

// underWay reports whether a task of a stored job may be at work, or a write of
// the job is under way.
func (j *job) underWay() bool {
	if j.kept.saving {
		return true
	}
	return slices.ContainsFunc(j.tasks, func(task *task) bool { return task.phase == ordered || task.phase == lost })
}

// compareJobs orders stored jobs by priority, then by age.
func compareJobs(one, other *job) int {
	return cmp.Or(
		cmp.Compare(one.route.Priority, other.route.Priority),
		one.kept.accepted.Compare(other.kept.accepted),
		cmp.Compare(one.id, other.id),
	)
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

// CancelStored cancels a stored job of this entry. The waiter is answered once
// that is stored. It reports false when the job is not this entry's.
func (c *Core) CancelStored(id work.JobID, waiter uint64) bool {
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

// StoredJobs returns the stored jobs of this entry.
func (c *Core) StoredJobs() []work.JobID {
	var ids []work.JobID
	for id, job := range c.jobs {
		if job.kept != nil {
			ids = append(ids, id)
		}
	}
	return ids
}
