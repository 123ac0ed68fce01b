package heldjob

import (
	"cmp"
	"slices"
	"time"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// storedState is the additional state of a stored job.
type storedState struct {
	// accepted is the wall clock time at which the job was accepted.
	accepted time.Time
	// saving is true while a write is in flight. unsaved is true if there are changes
	// for the next write.
	saving, unsaved bool
	// lastPlacement is the result of the last placement attempt, and blockedSteps the
	// number of steps that no minion might run then.
	lastPlacement placementResult
	blockedSteps  int
	// placed is true once a task of the job has been sent to a sidecar.
	placed bool
	// unconfirmed means that another entry may have taken over the job: this entry
	// lost its ownership and has to write the job again. confirming means that the
	// write in flight does so.
	unconfirmed, confirming bool
	// runsUntil is until when runs of an unconfirmed job may go on, and withdrawn is true once
	// they have been stopped for that or for the runsUntil of the entry.
	runsUntil time.Time
	withdrawn bool
	// epoch is the epoch of the job, savedEpoch that of the newest write that has succeeded and
	// savingEpoch that of the write in flight. Nothing is started before an epoch is saved.
	epoch, savedEpoch, savingEpoch session.Epoch
	// outcome is set once the job has ended. It is written to the job store before it
	// is reported to callers.
	outcome Outcome
	// unsavedAcks are the events whose results the next write will store, savingAcks
	// those of the write in flight.
	unsavedAcks, savingAcks []*eventAck
	// cancelWaiters are the open requests to cancel the job.
	cancelWaiters map[uint64]bool
}

// StoredJob is a stored job that this entry owns.
type StoredJob struct {
	Job      work.Job
	Route    manifest.Route
	Accepted time.Time
	// Epoch is the stored epoch of the job.
	Epoch    session.Epoch
	Done     func(step, index int) bool
	Failures map[work.TaskKey]int
	// Crashes is the number of minions that have crashed under each task.
	Crashes map[work.TaskKey]int
	// Checkpoints are the checkpoints of tasks that are not done.
	Checkpoints map[work.TaskKey]work.Checkpoint
}

// OwnUntil sets until when the entry certainly owns its stored jobs; the zero time if it
// does not. None of their tasks is started later, also if the entry was paused meanwhile.
func (c *Core) OwnUntil(now, until time.Time) {
	if !c.ownsJobs(now) {
		c.ownedSince = now
	}
	c.ownedUntil = until
}

// ownsJobs reports whether the entry certainly owns its stored jobs.
func (c *Core) ownsJobs(now time.Time) bool { return !c.releasing && !now.After(c.ownedUntil) }

// StopOwning makes the entry leave its stored jobs to others, for good: none of their tasks
// is started, and new jobs that have to be stored are refused.
func (c *Core) StopOwning() { c.releasing = true }

// mayRerunLost reports whether tasks of stored jobs at a sidecar whose runs must have
// expired may run elsewhere. An entry that was cut off itself first has reconnectTime
// to reach the sidecar again.
func (c *Core) mayRerunLost(now time.Time) bool {
	return c.ownsJobs(now) && now.Sub(c.ownedSince) > reconnectTime
}

// beginEpoch begins the next epoch of a stored job: a run of it is given up of which no end is
// known. Nothing is started before the epoch is stored, so that whoever finds the end later
// knows that the task may have been started again.
func (c *Core) beginEpoch(job *job) {
	if job.stored.epoch != job.stored.savedEpoch {
		// Nothing was started in this epoch.
		return
	}
	job.stored.epoch++
	c.recordDecision(Decision{Kind: DecidedEpochBegun, Job: job.id, Epoch: job.stored.epoch})
	c.requestSave(job)
}

// AddStoredJob adds a job of the job store that this entry owns from now on. It does
// nothing if the entry has the job already.
func (c *Core) AddStoredJob(now time.Time, stored StoredJob) {
	if _, known := c.jobs[stored.Job.ID]; known {
		c.memory.release(stored.Job.ID)
		return
	}
	added := newUnplacedJob(now, stored.Job, stored.Route)
	// Without its monotonic part the time compares with those read from the job store.
	epoch := stored.Epoch.FromStore()
	added.stored = &storedState{accepted: stored.Accepted.Round(0), epoch: epoch, savedEpoch: epoch, cancelWaiters: make(map[uint64]bool)}
	c.restoreTasks(now, added, &stored)
	c.add(added, MemoryOf(&stored.Job))
	othersWait := c.hasWaitingJob(added.route.Priority)
	at, _ := slices.BinarySearchFunc(c.queue, added, compareJobs)
	c.queue = slices.Insert(c.queue, at, added)
	if !c.endIfFinished(added) && !othersWait {
		c.placeStored(now, added)
	}
}

// restoreTasks gives the tasks of a job the state that was stored.
func (c *Core) restoreTasks(now time.Time, added *job, stored *StoredJob) {
	for step := range added.steps {
		for index := range added.steps[step].Count {
			key := work.TaskKey{Job: added.id, Step: step, Index: index}
			c.quarantine.Restore(now, key, stored.Route.Name, stored.Crashes[key])
			added.mayHaveRun = added.mayHaveRun || stored.Failures[key] > 0 || stored.Crashes[key] > 0
			if stored.Done != nil && stored.Done(step, index) {
				added.restoreDone(step, index)
			} else if stored.Failures[key] > 0 || stored.Crashes[key] > 0 || stored.Checkpoints[key] != "" {
				restored := newTask(added.id, step, index)
				restored.failures, restored.checkpoint = stored.Failures[key], stored.Checkpoints[key]
				added.tasks.keep(restored)
			}
		}
	}
}

// restoreDone records that a task was done before the job was added.
func (j *job) restoreDone(step, index int) {
	j.tasks.recordDone(j.steps, step, index)
	j.mayHaveRun = true
	j.unplacedTasks--
	j.unfinishedTasks--
	j.unfinishedByStep[step]--
}

// endIfFinished ends a job that was added with all of its tasks done, or with a task
// that had used up its attempts.
func (c *Core) endIfFinished(job *job) bool {
	for _, task := range job.tasks.states {
		if task.failures >= max(job.route.Attempts, 1) {
			c.end(job, Answer{Outcome: Failed, Reason: ReasonTaskFailed})
			return true
		}
	}
	if job.unfinishedTasks == 0 {
		c.end(job, Answer{Outcome: Completed})
		return true
	}
	return c.endIfPoison(job)
}

// hasEnded reports whether the job is a stored one whose end is not stored yet.
func (j *job) hasEnded() bool { return j.stored != nil && j.stored.outcome != 0 }

// active reports whether a run of a stored job may be active or a write of the job is
// in flight.
func (j *job) active() bool {
	if j.stored.saving {
		return true
	}
	return slices.ContainsFunc(j.tasks.states, func(task *task) bool { return task.phase == phaseSent || task.phase == phaseLost })
}

// compareJobs orders stored jobs by priority, then by age, then by ID.
func compareJobs(a, b *job) int {
	return cmp.Or(
		cmp.Compare(a.route.Priority, b.route.Priority),
		a.stored.accepted.Compare(b.stored.accepted),
		cmp.Compare(a.id, b.id),
	)
}

// endStored ends a stored job and stops its runs. The outcome is reported once it is
// written to the job store.
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

// Disown removes a stored job that another entry has taken over or ended, and stops
// its runs.
func (c *Core) Disown(id work.JobID) {
	job, ok := c.jobs[id]
	if !ok || job.stored == nil {
		return
	}
	c.recordDecision(Decision{Kind: DecidedDisowned, Job: id})
	leaveAcks(job.stored.savingAcks)
	leaveAcks(job.stored.unsavedAcks)
	c.answerCancels(job, Answer{Outcome: GivenUp})
	c.dequeue(job)
	c.drop(job)
}

// EndedElsewhere removes a stored job of this entry that another entry has cancelled, and stops
// its runs. This entry was the owner until then, so that nobody else has started anything of
// the job, or will, and the ends of its runs need not be kept for anyone.
func (c *Core) EndedElsewhere(id work.JobID) {
	job, ok := c.jobs[id]
	if !ok || job.stored == nil {
		return
	}
	allowAcks(job.stored.savingAcks)
	allowAcks(job.stored.unsavedAcks)
	job.stored.savingAcks, job.stored.unsavedAcks = nil, nil
	c.answers.put(id, Answer{Outcome: Cancelled})
	c.Disown(id)
}

// CancelStored cancels a stored job of this entry. The waiter is answered once the
// cancellation is written to the job store. CancelStored returns false if this entry
// does not own the job.
func (c *Core) CancelStored(id work.JobID, waiter uint64) bool {
	job, ok := c.jobs[id]
	if !ok || job.stored == nil {
		return false
	}
	job.stored.cancelWaiters[waiter] = true
	c.endStored(job, Answer{Outcome: Cancelled})
	return true
}

// answerCancels answers the open requests to cancel the job.
func (c *Core) answerCancels(job *job, answer Answer) {
	for waiter := range job.stored.cancelWaiters {
		c.emit(Reply{Waiter: waiter, Answer: answer, Route: job.route.Name})
	}
}

// StoredJobs returns the IDs of the stored jobs of this entry, in no fixed order.
func (c *Core) StoredJobs() []work.JobID {
	var ids []work.JobID
	for id, job := range c.jobs {
		if job.stored != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// UnendedStoredJobs returns the IDs of the stored jobs of this entry that have not ended as
// far as it knows, in no fixed order.
func (c *Core) UnendedStoredJobs() []work.JobID {
	var ids []work.JobID
	for id, job := range c.jobs {
		if job.stored != nil && job.stored.outcome == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}
