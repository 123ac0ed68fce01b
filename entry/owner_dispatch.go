package entry

import (
	"net/http"
	"time"

	"github.com/figring/figring/decision/admission"
	"github.com/figring/figring/decision/jobstate"
	"github.com/figring/figring/decision/routing"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

const (
	// targetRemovalTimeout is how long a sidecar may be silent before it is removed
	// and its open calls are ended. A live sidecar sends a heartbeat every 4 s.
	targetRemovalTimeout = 12 * time.Second
	// targetStaleTimeout is how long a sidecar may be silent before it gets no more
	// work.
	targetStaleTimeout = 6 * time.Second
	// keyExpiryInterval is the interval at which expired keys are removed.
	keyExpiryInterval = 10 * time.Second
	// capacityUpdateInterval is the interval at which the queue's capacity is
	// updated.
	capacityUpdateInterval = 100 * time.Millisecond
	// noPermitPause is how long a target gets no work after this entry could grant
	// no permit for it.
	noPermitPause = 250 * time.Millisecond
	// noTargetGracePeriod is how long an entry accepts jobs without a target, after
	// its start and after the loss of its last target. Sidecars that start, restart
	// or discover the entry report to it within this time.
	noTargetGracePeriod = 5 * time.Second
	// minTaskTimeout is the minimum timeout of a dispatched task.
	minTaskTimeout = 10 * time.Millisecond
)

// dispatch sends queued tasks in fair order while targets have room. It skips
// tasks that no target can take.
func (o *Owner) dispatch() {
	if !o.admitting(o.now) {
		return
	}
	var skipped lookahead
	defer o.queue.Resume()
	for {
		ref, ok := o.queue.Peek()
		if !ok {
			return
		}
		job, running := o.jobs[ref.Key]
		if !running {
			o.queue.Remove(ref.Key, o.now)
			continue
		}
		kind := taskKindOf(o.routingRequest(job, ref.Index))
		choice, ok := routing.Choice{}, false
		if !skipped.isBlocked(kind) {
			choice, ok = o.pickTarget(job, ref.Index)
		}
		if !ok {
			if !o.skipBlocked(&skipped, kind) {
				return
			}
			continue
		}
		o.queue.Next(o.now)
		o.send(job, ref.Index, choice)
	}
}

func (o *Owner) routingRequest(job *runningJob, index int) routing.Request {
	task := &job.spec.Tasks[index]
	return routing.Request{
		Caller:   job.spec.Key.Caller,
		Class:    task.Class,
		Declared: task.DeclaredRun,
		Size:     task.DeclaredSize,
		Zone:     o.self.Zone,
	}
}

func (o *Owner) send(job *runningJob, index int, choice routing.Choice) {
	target, known := o.targets[choice.Incarnation]
	attempt, allowed := job.state.Attempt(index)
	if !known || !allowed {
		return
	}
	o.apply(job, jobstate.Dispatched{Index: index, Attempt: attempt, Sidecar: choice.Incarnation})
	o.router.Dispatched(choice.Incarnation, o.now)
	dispatch := o.newDispatch(job, index, attempt, target)
	dispatch.maxQueue = choice.MaxQueueWait
	if job.repeatable != nil {
		dispatch.repeatable = true
		o.recordRepeatableDispatch(job, choice)
	}
	if attempt > 1 {
		o.metrics.Redispatched.Inc(1)
	}
	o.metrics.Dispatches.Inc(1)
	o.inFlight++
	go o.dispatcher.send(o.ctx, dispatch)
}

func (o *Owner) newDispatch(job *runningJob, index, attempt int, target *knownTarget) taskDispatch {
	task := &job.spec.Tasks[index]
	return taskDispatch{
		target:  target.info,
		ref:     model.TaskRef{Key: job.spec.Key, Index: index},
		attempt: attempt,
		class:   task.Class,
		payload: task.Payload,
		timeout: max(job.state.Deadline().Sub(o.now), minTaskTimeout),
	}
}

// attach waits for tasks that a former owner sent to sidecars. A task at a sidecar
// that this entry does not know ends as unknown.
func (o *Owner) attach(job *runningJob, tasks []jobstate.Placement) {
	for _, task := range tasks {
		target, known := o.targets[task.Sidecar]
		if !known {
			ref := model.TaskRef{Key: job.spec.Key, Index: task.Index}
			o.apply(job, jobstate.Unknown{Ref: ref, Attempt: task.Attempt})
			continue
		}
		dispatch := o.newDispatch(job, task.Index, task.Attempt, target)
		dispatch.attach = true
		o.router.Dispatched(task.Sidecar, o.now)
		o.inFlight++
		go o.dispatcher.send(o.ctx, dispatch)
	}
}

// dispatchEnded handles the result of a dispatch.
func (o *Owner) dispatchEnded(result dispatchResult) {
	o.inFlight--
	o.recordContact(result)
	o.metrics.recordDispatchEnd(result)
	job, running := o.jobs[result.dispatch.ref.Key]
	o.router.Finished(result.dispatch.target.Incarnation, o.routingReport(result), o.now)
	if !running {
		o.metrics.countLateResult(result)
		return
	}
	switch result.reply.Status {
	case wire.RunDone:
		o.recordTaskDuration(result)
		o.releaseConcurrency(job)
		o.apply(job, jobstate.Done{Ref: result.dispatch.ref, Attempt: result.dispatch.attempt, Result: result.reply.Result})
	case wire.RunNotStarted:
		o.pauseTarget(result)
		allowSidecarAgain(job, result.dispatch.target.Sidecar)
		o.apply(job, jobstate.HandedBack{Ref: result.dispatch.ref, Attempt: result.dispatch.attempt, Reason: result.reply.Reason})
	default:
		o.releaseConcurrency(job)
		o.apply(job, jobstate.Unknown{Ref: result.dispatch.ref, Attempt: result.dispatch.attempt})
	}
}

// recordTaskDuration records the duration of a successful task in the queue. It
// leaves out attached tasks: another entry sent those earlier, so the elapsed time
// is not their duration.
func (o *Owner) recordTaskDuration(result dispatchResult) {
	if result.reply.Result.Status < http.StatusBadRequest && !result.dispatch.attach {
		o.queue.RecordTaskDuration(result.dispatch.ref.Key, result.elapsed, o.now)
	}
}

// releaseConcurrency records in the queue that a task ended, so that it no longer
// counts towards its caller's concurrency. A repeatable request counts until it is
// answered.
func (o *Owner) releaseConcurrency(job *runningJob) {
	if job.repeatable == nil {
		o.queue.TaskEnded(job.spec.Key)
	}
}

func (o *Owner) routingReport(result dispatchResult) routing.DispatchResult {
	return routing.DispatchResult{
		Caller:     result.dispatch.ref.Key.Caller,
		Class:      result.dispatch.class,
		Status:     result.reply.Status,
		Reason:     result.reply.Reason,
		TaskStatus: result.reply.Result.Status,
		RunTime:    result.reply.Result.RunTime,
		QueueWait:  result.reply.QueueWait,
		Elapsed:    result.elapsed,
		Load:       result.reply.Load,
	}
}

// recordContact records that the sidecar answered.
func (o *Owner) recordContact(result dispatchResult) {
	target, known := o.targets[result.dispatch.target.Incarnation]
	if known && result.reply.MessageNumber > 0 {
		target.lastMessageAt = o.now
		o.router.SetReady(result.dispatch.target.Incarnation, true)
	}
}

// pauseTarget stops sending work to a target that handed back a task because it
// can't take any, until the target reports again. A permit that was missing at
// the sidecar is no reason to pause it: the next dispatch echoes the message of
// the hand-back and therefore carries a valid permit. If this entry could not
// grant a permit, the pause lasts for noPermitPause.
func (o *Owner) pauseTarget(result dispatchResult) {
	switch result.reply.Reason {
	case wire.ReasonNoPermit:
		if target, known := o.targets[result.dispatch.target.Incarnation]; known && result.reply.MessageNumber == 0 {
			target.noWorkUntil = o.now.Add(noPermitPause)
			o.router.SetReady(result.dispatch.target.Incarnation, false)
		}
	case wire.ReasonWrongIncarnation, wire.ReasonDraining, wire.ReasonNoMinion, wire.ReasonUnreachable:
		o.router.SetReady(result.dispatch.target.Incarnation, false)
	}
}

// updateTarget records the state that a sidecar reported. If the sidecar is new or
// changed its state, the queue's capacity is updated immediately, because the
// queue may refuse jobs until it knows of a target.
func (o *Owner) updateTarget(e renewalEvent) {
	target, known := o.targets[e.target.Incarnation]
	changed := !known || target.info.State != e.target.State
	if !known {
		target = &knownTarget{}
		o.targets[e.target.Incarnation] = target
	}
	if known && !e.wanted && target.info == e.target {
		o.metrics.IdleRenewals.Inc(1)
	}
	target.info = e.target
	target.lastMessageAt = o.now
	target.open = o.bundle.ZoneOpen(e.target.Zone) && o.bundle.TargetOpen(e.target.Sidecar)
	o.router.Upsert(e.target, e.load, o.now)
	o.router.SetReady(e.target.Incarnation, true)
	if changed {
		o.updateCapacity()
	}
}

// updateCapacity updates the queue's capacity from the targets, and this entry's
// share of the callers' quotas if the number of entries has changed. For
// noTargetGracePeriod after its start, and after the loss of its last target, the
// entry accepts jobs without a target, and the jobs wait for one.
func (o *Owner) updateCapacity() {
	o.resumePausedTargets()
	capacity := o.router.Capacity(o.now)
	if capacity.Targets > 0 {
		o.lastTargetAt = o.now
	}
	if capacity.Targets > 0 || o.now.Sub(o.lastTargetAt) > noTargetGracePeriod {
		o.queue.SetCapacity(admission.Capacity{
			Targets:            capacity.Targets,
			Free:               capacity.FreeSlots,
			LargestMemoryBytes: capacity.LargestMemoryBytes,
			TasksPerSecond:     capacity.TasksPerSecond,
		})
	}
	entries, _ := o.members.Entries()
	if len(entries) != o.entryCount {
		o.entryCount = len(entries)
		o.queue.ApplyBundle(o.bundle, max(1, o.entryCount), o.now)
	}
}

// resumePausedTargets ends the pauses of targets for which this entry could grant
// no permit, once noPermitPause has passed.
func (o *Owner) resumePausedTargets() {
	for incarnation, target := range o.targets {
		if !target.noWorkUntil.IsZero() && !o.now.Before(target.noWorkUntil) {
			target.noWorkUntil = time.Time{}
			o.router.SetReady(incarnation, true)
		}
	}
}

// removeSilentTargets stops sending work to sidecars that have been silent for
// targetStaleTimeout. After targetRemovalTimeout it removes them and ends the open
// calls to them.
func (o *Owner) removeSilentTargets() {
	for incarnation, target := range o.targets {
		silence := o.now.Sub(target.lastMessageAt)
		if silence > targetStaleTimeout {
			o.router.SetReady(incarnation, false)
		}
		if silence > targetRemovalTimeout {
			delete(o.targets, incarnation)
			o.router.Remove(incarnation)
			o.peers.remove(incarnation)
			o.closeConnection(target.info.Address)
		}
	}
}

// closeConnection closes the connection to an address, which ends the open calls
// to it, unless a known sidecar has the address.
func (o *Owner) closeConnection(address string) {
	for _, target := range o.targets {
		if target.info.Address == address {
			return
		}
	}
	go o.dispatcher.closeConnection(address)
}
