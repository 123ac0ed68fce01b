package heldjob

import (
	"cmp"
	"slices"
	"time"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/work"
)

// storedState is what a stored job has besides.
type storedState struct {
	// accepted is the time of day of the acceptance.
	accepted time.Time
	// saving is true while a write is under way, unsaved when there is more to
	// store after it.
	saving, unsaved bool
	// lastPlacement is what the job found when it looked for room last.
	lastPlacement placementResult
	// placed is true once a task of the job has been placed.
	placed bool
	// unconfirmed means that another entry may have taken the job over: the entry has
	// lost its ownership and has to write the job anew. confirming means that the
	// write under way does that.
	unconfirmed, confirming bool
	// outcome is set once the job has ended; it is stored then and told later.
	outcome Outcome
	// unsavedAcks are the events that the next write stores, savingAcks those of the
	// present one.
	unsavedAcks, savingAcks []*eventAck
	// cancelWaiters are the waiting requests to cancel the job.
	cancelWaiters map[uint64]bool
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
	if owning && !c.ownsJobs {
		c.ownsJobsSince = now
	}
	c.ownsJobs = owning
}

// mayRerunLost reports whether tasks of stored jobs may be given up at a sidecar
// that has been lost for long. An entry that was cut off itself finds it again
// before that.
func (c *Core) mayRerunLost(now time.Time) bool {
	return c.ownsJobs && now.Sub(c.ownsJobsSince) > reconnectTime
}

// AddStoredJob takes a stored job to run.
func (c *Core) AddStoredJob(now time.Time, stored StoredJob) {
	if _, known := c.jobs[stored.Job.ID]; known {
		return
	}
	added := newUnplacedJob(now, stored.Job, stored.Route)
	added.stored = &storedState{accepted: stored.Accepted, cancelWaiters: make(map[uint64]bool)}
	for _, task := range added.tasks {
		task.failures = stored.Failures[task.key]
		task.checkpoint = stored.Checkpoints[task.key]
		if stored.Done != nil && stored.Done(task.key.Step, task.key.Index) {
			task.phase = phaseDone
			added.mayHaveRun = true
			added.unplacedTasks--
			added.unfinishedTasks--
			added.unfinishedByStep[task.step]--
		}
		added.mayHaveRun = added.mayHaveRun || task.failures > 0
	}
	c.jobs[added.id] = added
	othersWait := c.hasWaitingJob(added.route.Priority)
	at, _ := slices.BinarySearchFunc(c.queue, added, compareJobs)
	c.queue = slices.Insert(c.queue, at, added)
	if !c.endIfFinished(added) && !othersWait {
		c.placeStored(now, added)
	}
}

// endIfFinished ends a job whose tasks were all done, or had failed, when it was
// taken over.
func (c *Core) endIfFinished(job *job) bool {
	for _, task := range job.tasks {
		if task.phase != phaseDone && task.failures >= max(job.route.Attempts, 1) {
			c.end(job, Answer{Outcome: Failed, Reason: ReasonTaskFailed})
			return true
		}
	}
	if job.unfinishedTasks == 0 {
		c.end(job, Answer{Outcome: Completed})
		return true
	}
	return false
}

// active reports whether a task of a stored job may be at work, or a write of
// the job is under way.
func (j *job) active() bool {
	if j.stored.saving {
		return true
	}
	return slices.ContainsFunc(j.tasks, func(task *task) bool { return task.phase == phaseSent || task.phase == phaseLost })
}

// compareJobs orders stored jobs by priority, then by age.
func compareJobs(a, b *job) int {
	return cmp.Or(
		cmp.Compare(a.route.Priority, b.route.Priority),
		a.stored.accepted.Compare(b.stored.accepted),
		cmp.Compare(a.id, b.id),
	)
}

// endStored ends a stored job: its runs are stopped, and its end is told once it
// is stored.
func (c *Core) endStored(job *job, answer Answer) {
	if job.stored.outcome != 0 {
		return
	}
	job.stored.outcome = answer.Outcome
	c.recordDecision(Decision{Kind: DecidedAnswered, Job: job.id, Outcome: answer.Outcome, Reason: string(answer.Reason)})
	c.stopRuns(job)
	c.dequeue(job)
	job.unplacedTasks = 0
	c.requestSave(job)
}

func (c *Core) dequeue(job *job) {
	at, found := slices.BinarySearchFunc(c.queue, job, compareJobs)
	if found {
		c.queue = slices.Delete(c.queue, at, at+1)
	}
}

// Disown forgets a stored job that another entry has taken over or ended. What
// runs of it is stopped.
func (c *Core) Disown(id work.JobID) {
	job, ok := c.jobs[id]
	if !ok || job.stored == nil {
		return
	}
	c.recordDecision(Decision{Kind: DecidedDisowned, Job: id})
	allowAcks(job.stored.savingAcks)
	allowAcks(job.stored.unsavedAcks)
	c.answerCancels(job, Answer{Outcome: GivenUp})
	c.dequeue(job)
	c.drop(job)
}

// CancelStored cancels a stored job of this entry. The waiter is answered once
// that is stored. It reports false when the job is not this entry's.
func (c *Core) CancelStored(id work.JobID, waiter uint64) bool {
	job, ok := c.jobs[id]
	if !ok || job.stored == nil {
		return false
	}
	job.stored.cancelWaiters[waiter] = true
	c.endStored(job, Answer{Outcome: Cancelled})
	return true
}

func (c *Core) answerCancels(job *job, answer Answer) {
	for waiter := range job.stored.cancelWaiters {
		c.emit(Reply{Waiter: waiter, Answer: answer, Route: job.route.Name})
	}
}

// StoredJobs returns the stored jobs of this entry.
func (c *Core) StoredJobs() []work.JobID {
	var ids []work.JobID
	for id, job := range c.jobs {
		if job.stored != nil {
			ids = append(ids, id)
		}
	}
	return ids
}
