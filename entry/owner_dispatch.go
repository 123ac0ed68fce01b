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
	targetSilence = 12 * time.Second
	// targetStale is how long a sidecar may be silent before it gets no more
	// work.
	targetStale = 6 * time.Second
	// expireInterval is the interval between two sweeps over old keys.
	expireInterval = 10 * time.Second
	// capacityInterval is the interval at which the queue learns what the
	// targets can take.
	capacityInterval = 100 * time.Millisecond
	// parkTime is how long a target gets no work after this entry could give no
	// permit for it.
	parkTime = 250 * time.Millisecond
	// targetGrace is how long after its start, and after its last target went,
	// an entry still takes jobs in: sidecars that start, restart or hear of the
	// entry come within it.
	targetGrace = 5 * time.Second
	// minTaskTimeout is the least time that a dispatched task is given.
	minTaskTimeout = 10 * time.Millisecond
)

// dispatch sends queued tasks for as long as targets have room, in fair order
// but for those that no target can take.
func (o *Owner) dispatch() {
	if !o.admitting(o.now) {
		return
	}
	var passed lookahead
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
		kind := kindOf(o.routingRequest(job, ref.Index))
		choice, ok := routing.Choice{}, false
		if !passed.isBlocked(kind) {
			choice, ok = o.pick(job, ref.Index)
		}
		if !ok {
			if !o.pass(&passed, kind) {
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
	order := o.order(job, index, attempt, target)
	order.maxQueue = choice.MaxQueue
	if job.repeat != nil {
		order.repeatable = true
		o.sentRepeatable(job, choice)
	}
	if attempt > 1 {
		o.metrics.Redispatched.Inc(1)
	}
	o.metrics.Dispatches.Inc(1)
	o.inFlight++
	go o.dispatcher.send(o.ctx, order)
}

func (o *Owner) order(job *runningJob, index, attempt int, target *knownTarget) dispatchOrder {
	task := &job.spec.Tasks[index]
	return dispatchOrder{
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
		order := o.order(job, task.Index, task.Attempt, target)
		order.attach = true
		o.router.Dispatched(task.Sidecar, o.now)
		o.inFlight++
		go o.dispatcher.send(o.ctx, order)
	}
}

// taskEnded takes in the end of a dispatch.
func (o *Owner) taskEnded(end dispatchEnd) {
	o.inFlight--
	o.heard(end)
	o.metrics.recordDispatchEnd(end)
	job, running := o.jobs[end.order.ref.Key]
	o.router.Finished(end.order.target.Incarnation, o.report(end), o.now)
	if !running {
		o.metrics.countLateResult(end)
		return
	}
	switch end.reply.Status {
	case wire.RunDone:
		o.noteTime(end)
		o.leaveQueue(job)
		o.apply(job, jobstate.Done{Ref: end.order.ref, Attempt: end.order.attempt, Result: end.reply.Result})
	case wire.RunNotStarted:
		o.noteHandBack(end)
		handedBackRepeatable(job, end.order.target.Sidecar)
		o.apply(job, jobstate.HandedBack{Ref: end.order.ref, Attempt: end.order.attempt, Reason: end.reply.Reason})
	default:
		o.leaveQueue(job)
		o.apply(job, jobstate.Unknown{Ref: end.order.ref, Attempt: end.order.attempt})
	}
}

// noteTime tells the queue how long a successful task took. A task that was
// attached to was sent by another entry, earlier.
func (o *Owner) noteTime(end dispatchEnd) {
	if end.reply.Result.Status < http.StatusBadRequest && !end.order.attach {
		o.queue.RecordTaskDuration(end.order.ref.Key, end.elapsed, o.now)
	}
}

// leaveQueue notes that a task ended. A request that may be repeated counts
// against its caller's concurrency until it is answered.
func (o *Owner) leaveQueue(job *runningJob) {
	if job.repeat == nil {
		o.queue.TaskEnded(job.spec.Key)
	}
}

func (o *Owner) report(end dispatchEnd) routing.Report {
	return routing.Report{
		Caller:     end.order.ref.Key.Caller,
		Class:      end.order.class,
		Status:     end.reply.Status,
		Reason:     end.reply.Reason,
		TaskStatus: end.reply.Result.Status,
		RunTime:    end.reply.Result.RunTime,
		QueueWait:  end.reply.QueueWait,
		Elapsed:    end.elapsed,
		Load:       end.reply.Load,
	}
}

// heard notes that a sidecar answered.
func (o *Owner) heard(end dispatchEnd) {
	target, known := o.targets[end.order.target.Incarnation]
	if known && end.reply.Message > 0 {
		target.heardAt = o.now
		o.router.SetReady(end.order.target.Incarnation, true)
	}
}

// noteHandBack keeps work from a target that can't take any, until it reports.
// A permit that was missing at the sidecar is no reason: the next dispatch names
// the message that came with the hand-back, and so carries a live one. One that
// this entry could not give is asked for again after parkTime.
func (o *Owner) noteHandBack(end dispatchEnd) {
	switch end.reply.Reason {
	case wire.ReasonNoPermit:
		if target, known := o.targets[end.order.target.Incarnation]; known && end.reply.Message == 0 {
			target.parkedUntil = o.now.Add(parkTime)
			o.router.SetReady(end.order.target.Incarnation, false)
		}
	case wire.ReasonWrongIncarnation, wire.ReasonDraining, wire.ReasonNoMinion, wire.ReasonUnreachable:
		o.router.SetReady(end.order.target.Incarnation, false)
	}
}

// targetRenewed takes in what a sidecar says of itself. The queue learns at
// once of one that can take work now: until then it may refuse for want of any.
func (o *Owner) targetRenewed(e renewed) {
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
	target.heardAt = o.now
	target.open = o.bundle.ZoneOpen(e.target.Zone) && o.bundle.TargetOpen(e.target.Sidecar)
	o.router.Upsert(e.target, e.load, o.now)
	o.router.SetReady(e.target.Incarnation, true)
	if changed {
		o.reviewCapacity()
	}
}

// reviewCapacity tells the queue what the targets can take, and its share of
// the callers' quotas when the number of entries has changed. For targetGrace
// after its start, and after its last target went, an entry takes jobs in
// without a target, and they wait for one.
func (o *Owner) reviewCapacity() {
	o.unpark()
	capacity := o.router.Capacity(o.now)
	if capacity.Targets > 0 {
		o.lastTarget = o.now
	}
	if capacity.Targets > 0 || o.now.Sub(o.lastTarget) > targetGrace {
		o.queue.SetCapacity(admission.Capacity{
			Targets:            capacity.Targets,
			Free:               capacity.Free,
			LargestMemoryBytes: capacity.LargestMemoryBytes,
			TasksPerSecond:     capacity.TasksPerSecond,
		})
	}
	entries, _ := o.members.Entries()
	if len(entries) != o.entries {
		o.entries = len(entries)
		o.queue.ApplyBundle(o.bundle, max(1, o.entries), o.now)
	}
}

// unpark lets targets be tried again for which no permit could be given.
func (o *Owner) unpark() {
	for incarnation, target := range o.targets {
		if !target.parkedUntil.IsZero() && !o.now.Before(target.parkedUntil) {
			target.parkedUntil = time.Time{}
			o.router.SetReady(incarnation, true)
		}
	}
}

// dropSilentTargets stops sending to sidecars that are silent, and gives up
// the open calls to those that are silent for long.
func (o *Owner) dropSilentTargets() {
	for incarnation, target := range o.targets {
		silent := o.now.Sub(target.heardAt)
		if silent > targetStale {
			o.router.SetReady(incarnation, false)
		}
		if silent > targetSilence {
			delete(o.targets, incarnation)
			o.router.Remove(incarnation)
			o.peers.remove(incarnation)
			o.forgetConnection(target.info.Address)
		}
	}
}

// forgetConnection closes the connection to an address at which no known
// sidecar lives, which ends the open calls there.
func (o *Owner) forgetConnection(address string) {
	for _, target := range o.targets {
		if target.info.Address == address {
			return
		}
	}
	go o.dispatcher.forget(address)
}
