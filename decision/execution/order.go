package execution

import (
	"maps"
	"slices"
	"time"

	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// Order accepts or refuses each task of a request. A refused task is not run.
func (c *Core) Order(now time.Time, entry string, request *session.StartRequest) []session.Refusal {
	refusals := make([]session.Refusal, len(request.Tasks))
	state, ok := c.entries[entry]
	if !ok || state.silent {
		return refuseAll(refusals, session.RefusedStale)
	}
	c.Echo(entry, request.Echo)
	state.newestRequest = max(state.newestRequest, request.Number)
	if now.Sub(request.Echo.Time()) > OrderMaxAge {
		return refuseAll(refusals, session.RefusedStale)
	}
	for i := range request.Tasks {
		if stopped, ok := state.stoppedJobs[request.Tasks[i].Task.Job]; ok && request.Number <= stopped.upTo {
			refusals[i] = session.RefusedStale
			continue
		}
		refusals[i] = c.orderTask(now, entry, request.Spec, &request.Tasks[i])
	}
	c.startQueued(now)
	return refusals
}

// Queued returns those of the request's tasks that wait in the queue for the entry.
func (c *Core) Queued(entry string, request *session.StartRequest) []work.TaskKey {
	var waiting []work.TaskKey
	for i := range request.Tasks {
		run, ok := c.runs[request.Tasks[i].Task]
		if ok && run.entry == entry && run.phase == queued {
			waiting = append(waiting, run.task)
		}
	}
	return waiting
}

func refuseAll(refusals []session.Refusal, reason session.Refusal) []session.Refusal {
	for i := range refusals {
		refusals[i] = reason
	}
	return refusals
}

func (c *Core) orderTask(now time.Time, entry, spec string, task *session.StartTask) session.Refusal {
	if task.Stored {
		c.voidSuperseded(now, task.Task, task.Epoch)
	}
	if c.isUnknownEnd(task) {
		c.claimOrphan(entry, task.Task, task.Attempt)
		return session.RefusedNone
	}
	if reason := c.refusal(); reason != session.RefusedNone {
		return reason
	}
	if task.Stored && !c.caughtUp {
		// The minion may have an end of the task that it has not listed yet.
		return session.RefusedNoMinion
	}
	if _, taken := c.runs[task.Task]; taken {
		return session.RefusedOtherEntry
	}
	if c.health.Suspect() && !c.trialDue(now) {
		return session.RefusedSuspect
	}
	if !c.minion.HasLabel(task.Label) {
		return session.RefusedLabel
	}
	if !c.minion.Capacity.Fits(task.Need) || len(c.queue) >= maxQueued {
		return session.RefusedRoom
	}
	wait := c.expectedWait(now, task)
	if wait > task.MaxWait || wait > task.ExpectedWait+session.ExpectedWaitMargin {
		return session.RefusedRoom
	}
	c.enqueue(&run{
		task:       task.Task,
		entry:      entry,
		route:      task.Route,
		spec:       spec,
		need:       c.minion.Occupied(task.Need),
		needKnown:  true,
		estimate:   task.Estimate,
		jobStored:  task.Stored,
		label:      task.Label,
		kind:       task.Kind(),
		isolation:  task.Isolation,
		checkpoint: task.Checkpoint,
		number:     c.nextRunNumber(task.Task, task.Attempt),

		orderedAttempt: max(task.Attempt, 1),
		epoch:          task.Epoch,

		orderedAt:  now,
		queuedBy:   now.Add(task.QueueSlack()),
		queueUntil: now.Add(task.MaxWait),
	})
	return session.RefusedNone
}

// isUnknownEnd reports whether the ordered attempt at a stored task has ended here. The
// entry does not know that and has to be told.
func (c *Core) isUnknownEnd(ordered *session.StartTask) bool {
	o := c.orphans.answerTo(ordered.Task, ordered.Attempt)
	return o != nil && ordered.Stored && decidesJob(o.end)
}

// expectedWait estimates how long the task will wait for capacity behind the
// runs that are due before it.
func (c *Core) expectedWait(now time.Time, task *session.StartTask) time.Duration {
	queuedBy := now.Add(task.QueueSlack())
	shortfall := c.minion.Occupied(task.Need).Sub(c.free()).MilliCPU
	for _, queued := range c.queue {
		if queued.queuedBy.Before(queuedBy) {
			shortfall += queued.need.MilliCPU
		}
	}
	pause := c.startPause(now, task.Task.Job)
	if shortfall <= 0 || c.minion.Capacity.MilliCPU <= 0 {
		return pause
	}
	return pause + time.Duration(float64(c.turnover(now))*float64(shortfall)/float64(c.minion.Capacity.MilliCPU))
}

// enqueue inserts the run in the order of the queue.
func (c *Core) enqueue(added *run) {
	added.phase = queued
	c.runs[added.task] = added
	at, _ := slices.BinarySearchFunc(c.queue, added, func(a, b *run) int {
		return a.queuedBy.Compare(b.queuedBy)
	})
	c.queue = slices.Insert(c.queue, at, added)
}

// startQueued starts all queued runs that fit, in queue order, except those of
// silent entries, whose tasks may run elsewhere.
func (c *Core) startQueued(now time.Time) {
	if c.refusal() != session.RefusedNone || len(c.queue) == 0 {
		return
	}
	free := c.free()
	kept := c.queue[:0]
	for i, waiting := range c.queue {
		allowed := c.mayStart(now, waiting)
		if allowed && free.Fits(waiting.need) && c.suits(now, waiting) {
			free = free.Sub(waiting.need)
			c.start(now, waiting)
			continue
		}
		if !allowed && c.suits(now, waiting) && c.holdsBack(now, waiting) {
			kept = append(kept, c.queue[i:]...)
			break
		}
		kept = append(kept, waiting)
	}
	clear(c.queue[len(kept):])
	c.queue = kept
}

// suits reports whether the minion may start the run now, regardless of room and of
// isolated runs.
func (c *Core) suits(now time.Time, waiting *run) bool {
	return c.minion.HasLabel(waiting.label) && !c.trialsRunning(now) && !c.silent(now, waiting.entry)
}

func (c *Core) start(now time.Time, run *run) {
	run.phase = starting
	run.incarnation = c.listedIncarnation
	c.isolation.started(now, run)
	run.startedAt = now
	run.progressAt = now
	run.percent = 0
	c.startPresence(now, run)
	c.emit(Start{Task: run.task, Number: run.number, Spec: run.spec, Fence: c.fence, Checkpoint: run.checkpoint})
}

// stoppedJob is a job of which no order up to a number may start anything.
type stoppedJob struct {
	upTo uint64
	at   time.Time
}

// recordStop records that the entry has stopped a job after its orders up to the number,
// some of which may arrive later. After OrderMaxAge they are refused for their age.
func (s *entryState) recordStop(now time.Time, job work.JobID, upTo uint64) {
	maps.DeleteFunc(s.stoppedJobs, func(_ work.JobID, stopped stoppedJob) bool { return now.Sub(stopped.at) > OrderMaxAge })
	if s.stoppedJobs == nil {
		s.stoppedJobs = make(map[work.JobID]stoppedJob)
	}
	s.stoppedJobs[job] = stoppedJob{upTo: upTo, at: now}
}

// StopJob withdraws all runs that the entry has of a job, and those of its orders up to the
// number that arrive later.
func (c *Core) StopJob(now time.Time, entry string, job work.JobID, upTo uint64) {
	if state, ok := c.entries[entry]; ok {
		state.recordStop(now, job, upTo)
	}
	for _, run := range c.runs {
		if run.entry == entry && run.task.Job == job {
			c.withdraw(now, run)
		}
	}
	c.reschedule(now)
}

// withdraw removes a queued run and stops any other. No entry waits for the run
// any more.
func (c *Core) withdraw(now time.Time, run *run) {
	run.withdrawn = true
	if run.phase == queued {
		c.dequeue(run)
		c.finish(run, work.EndNotRun, 0)
		return
	}
	c.stop(now, run, work.EndStopped)
}

// stop orders the minion to stop a running run. A run whose start was not
// answered is stopped later, when it is known to be running.
func (c *Core) stop(now time.Time, run *run, end work.End) {
	if run.phase != running {
		return
	}
	run.phase = stopping
	run.stopEnd = end
	run.stopSentAt = now
	c.emit(Stop{Task: run.task, Number: run.number, Fence: c.fence})
}

func (c *Core) dequeue(run *run) {
	at := slices.Index(c.queue, run)
	if at >= 0 {
		c.queue = slices.Delete(c.queue, at, at+1)
	}
}

// handBackQueue reports all queued runs as not run.
func (c *Core) handBackQueue(now time.Time) {
	waiting := c.queue
	c.queue = nil
	for _, run := range waiting {
		c.finish(run, work.EndNotRun, 0)
	}
}

// finish removes a run and reports its end to its entry. It returns the event
// number, or 0 if there is no event.
func (c *Core) finish(run *run, end work.End, took time.Duration) uint64 {
	delete(c.runs, run.task)
	c.endPresence(run)
	c.logEvent(LogEvent{
		Kind: LogRunEnded, Task: run.task, Entry: run.entry, Route: run.route, End: end, Took: took, Estimate: run.estimate,
		Waited: run.waited(), Answered: run.answered(),
	})
	return c.report(run.entry, session.Event{Task: run.task, End: end, Attempt: attemptOf(run.number), RunTime: took, Checkpoint: run.checkpoint})
}
