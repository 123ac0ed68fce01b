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
	// targetSilence is how long a sidecar may be silent before its open calls
	// are given up. One that lives sends a heartbeat each 4 s.
	targetRemovalTimeout = 12 * time.Second
	// targetStale is how long a sidecar may be silent before it gets no more
	// work.
	targetStaleTimeout = 6 * time.Second
	// expireInterval is the interval between two sweeps over old keys.
	keyExpiryInterval = 10 * time.Second
	// capacityInterval is the interval at which the queue learns what the
	// targets can take.
	capacityUpdateInterval = 100 * time.Millisecond
	// parkTime is how long a target gets no work after this entry could give no
	// permit for it.
	noPermitPause = 250 * time.Millisecond
	// targetGrace is how long after its start, and after its last target went,
	// an entry still takes jobs in: sidecars that start, restart or hear of the
	// entry come within it.
	noTargetGracePeriod = 5 * time.Second
	// minTaskTimeout is the least time that a dispatched task is given.
	minTaskTimeout = 10 * time.Millisecond
)

// dispatch sends queued tasks for as long as targets have room, in fair order
// but for those that no target can take.
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
	dispatch.maxQueue = choice.MaxQueue
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

// attach waits at the sidecars for tasks that a former owner sent there.
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

// taskEnded takes in the end of a dispatch.
func (o *Owner) dispatchEnded(result dispatchResult) {
	o.inFlight--
	o.recordContact(result)
	o.metrics.noteEnd(result)
	job, running := o.jobs[result.dispatch.ref.Key]
	o.router.Finished(result.dispatch.target.Incarnation, o.routingReport(result), o.now)
	if !running {
		o.metrics.noteLate(result)
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

// noteTime tells the queue how long a successful task took. A task that was
// attached to was sent by another entry, earlier.
func (o *Owner) recordTaskDuration(result dispatchResult) {
	if result.reply.Result.Status < http.StatusBadRequest && !result.dispatch.attach {
		o.queue.RecordTaskDuration(result.dispatch.ref.Key, result.elapsed, o.now)
	}
}

// leaveQueue notes that a task ended. A request that may be repeated counts
// against its caller's concurrency until it is answered.
func (o *Owner) releaseConcurrency(job *runningJob) {
	if job.repeatable == nil {
		o.queue.TaskEnded(job.spec.Key)
	}
}

func (o *Owner) routingReport(result dispatchResult) routing.Report {
	return routing.Report{
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

// heard notes that a sidecar answered.
func (o *Owner) recordContact(result dispatchResult) {
	target, known := o.targets[result.dispatch.target.Incarnation]
	if known && result.reply.Message > 0 {
		target.lastMessageAt = o.now
		o.router.SetReady(result.dispatch.target.Incarnation, true)
	}
}

// noteHandBack keeps work from a target that can't take any, until it reports.
// A permit that was missing at the sidecar is no reason: the next dispatch names
// the message that came with the hand-back, and so carries a live one. One that
// this entry could not give is asked for again after parkTime.
func (o *Owner) pauseTarget(result dispatchResult) {
	switch result.reply.Reason {
	case wire.ReasonNoPermit:
		if target, known := o.targets[result.dispatch.target.Incarnation]; known && result.reply.Message == 0 {
			target.noWorkUntil = o.now.Add(noPermitPause)
			o.router.SetReady(result.dispatch.target.Incarnation, false)
		}
	case wire.ReasonWrongIncarnation, wire.ReasonDraining, wire.ReasonNoMinion, wire.ReasonUnreachable:
		o.router.SetReady(result.dispatch.target.Incarnation, false)
	}
}

// targetRenewed takes in what a sidecar says of itself. The queue learns at
// once of one that can take work now: until then it may refuse for want of any.
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

// reviewCapacity tells the queue what the targets can take, and its share of
// the callers' quotas when the number of entries has changed. For targetGrace
// after its start, and after its last target went, an entry takes jobs in
// without a target, and they wait for one.
func (o *Owner) updateCapacity() {
	o.resumePausedTargets()
	capacity := o.router.Capacity(o.now)
	if capacity.Targets > 0 {
		o.lastTargetAt = o.now
	}
	if capacity.Targets > 0 || o.now.Sub(o.lastTargetAt) > noTargetGracePeriod {
		o.queue.SetCapacity(admission.Capacity{
			Targets:            capacity.Targets,
			Free:               capacity.Free,
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

// unpark lets targets be tried again for which no permit could be given.
func (o *Owner) resumePausedTargets() {
	for incarnation, target := range o.targets {
		if !target.noWorkUntil.IsZero() && !o.now.Before(target.noWorkUntil) {
			target.noWorkUntil = time.Time{}
			o.router.SetReady(incarnation, true)
		}
	}
}

// dropSilentTargets stops sending to sidecars that are silent, and gives up
// the open calls to those that are silent for long.
func (o *Owner) removeSilentTargets() {
	for incarnation, target := range o.targets {
		silence := o.now.Sub(target.lastMessageAt)
		if silence > targetStaleTimeout {
			o.router.SetReady(incarnation, false)
		}
		if silence > targetRemovalTimeout {
			delete(o.targets, incarnation)
			o.router.Remove(incarnation)
			o.peers.forget(incarnation)
			o.closeConnection(target.info.Address)
		}
	}
}

// forgetConnection closes the connection to an address at which no known
// sidecar lives, which ends the open calls there.
func (o *Owner) closeConnection(address string) {
	for _, target := range o.targets {
		if target.info.Address == address {
			return
		}
	}
	go o.dispatcher.closeConnection(address)
}
