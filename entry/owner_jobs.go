package entry

import (
	"github.com/figring/figring/decision/admission"
	"github.com/figring/figring/decision/jobstate"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// apply applies an event to a job and performs the resulting actions.
func (o *Owner) apply(job *runningJob, event jobstate.Event) {
	for _, action := range job.state.Apply(event, o.now) {
		switch a := action.(type) {
		case jobstate.Dispatch:
			o.enqueue(job, event, a.Indexes)
		case jobstate.Attach:
			o.attach(job, a.Tasks)
		case jobstate.Withdraw:
			o.withdraw(job, a.Tasks)
		case jobstate.Finish:
			o.finish(job, a.Answer)
		}
	}
}

// enqueue adds tasks that are proved not started to the fair queue. A task that was
// handed back keeps its place. For a retried task the caller is charged again.
func (o *Owner) enqueue(job *runningJob, event jobstate.Event, indexes []int) {
	for _, index := range indexes {
		ref := model.TaskRef{Key: job.spec.Key, Index: index}
		switch event.(type) {
		case jobstate.HandedBack:
			o.queue.Requeue(ref, o.now)
		case jobstate.Unknown, jobstate.Done:
			o.queue.EnqueueRetry(ref, o.now)
		default:
			o.queue.Enqueue(job.spec.Key, admission.LongestFirst(job.spec.Tasks, indexes), o.now)
			return
		}
	}
}

// finish records the terminal answer and sends it to all waiters. The failure of a
// job with a key is deferred while this entry holds no lease: another entry may
// have adopted the job and may be running it. A complete answer needs no lease,
// because the tasks have run.
func (o *Owner) finish(job *runningJob, answer model.Answer) {
	if answer.State == model.Failed && !job.keyless && !o.holdsLease() {
		o.deferFailure(job, &answer)
		return
	}
	if !job.keyless {
		o.recordAnswer(&answer)
	}
	o.removeJob(job)
	o.recordRepeatStats(job)
	o.metrics.CountJob(job.spec.Key.Caller, &answer)
	job.reply(wire.JobReply{Answer: &answer})
}

// recordAnswer keeps a terminal answer in memory and queues it for the platform's
// store.
func (o *Owner) recordAnswer(answer *model.Answer) {
	if o.keys.Answered(answer.Key, answer) {
		o.answerWriter.Enqueue(answer)
	}
}

// deferFailure keeps a failure until the lease is valid again. Waiters are
// immediately refused with an unknown outcome.
func (o *Owner) deferFailure(job *runningJob, answer *model.Answer) {
	o.deferredFailures = append(o.deferredFailures, answer)
	o.removeJob(job)
	job.reply(refused(failureDeferred(answer.Code)))
}

// failureDeferred returns the refusal that replaces a failure while this entry
// holds no lease.
func failureDeferred(code model.Code) *model.Refusal {
	return &model.Refusal{
		Code:       code,
		Outcome:    model.Unknown,
		Detail:     "the store can't be reached, so the job's end can't be decided here; resubmit with the same key",
		RetryAfter: storeRetryAfter,
	}
}

// recordDeferredFailures records the deferred failures once the lease is valid
// again.
func (o *Owner) recordDeferredFailures() {
	if len(o.deferredFailures) == 0 || !o.holdsLease() {
		return
	}
	for _, answer := range o.deferredFailures {
		o.recordAnswer(answer)
		o.metrics.CountJob(answer.Key.Caller, answer)
	}
	o.deferredFailures = nil
}

func (o *Owner) removeJob(job *runningJob) {
	delete(o.jobs, job.spec.Key)
	o.queue.Remove(job.spec.Key, o.now)
}

// withdraw removes a finished job from the queue and withdraws its open dispatches,
// with one message to each sidecar.
func (o *Owner) withdraw(job *runningJob, tasks []jobstate.Placement) {
	o.queue.Remove(job.spec.Key, o.now)
	bySidecar := make(map[model.Incarnation][]int)
	for _, task := range tasks {
		bySidecar[task.Sidecar] = append(bySidecar[task.Sidecar], task.Index)
	}
	for sidecar, indexes := range bySidecar {
		target, known := o.targets[sidecar]
		if !known {
			continue
		}
		o.metrics.Withdrawals.Inc(1)
		request := &wire.WithdrawRequest{Entry: o.self.Incarnation, Key: job.spec.Key, Indexes: indexes, StopRunning: true}
		go o.dispatcher.withdraw(o.ctx, target.info.Address, request)
	}
}

// tick performs the work that is triggered by time only: deadlines, hedges,
// deferred failures, silent targets, the capacity and the expiry of keys.
func (o *Owner) tick() {
	for _, key := range o.deadlines.due(o.now) {
		job, running := o.jobs[key]
		switch {
		case !running:
		case !o.now.Before(job.state.Deadline()):
			o.apply(job, jobstate.DeadlinePassed{})
		default:
			o.hedge(job)
		}
	}
	o.recordDeferredFailures()
	o.removeSilentTargets()
	if o.now.Sub(o.lastCapacityUpdate) > capacityUpdateInterval {
		o.lastCapacityUpdate = o.now
		o.updateCapacity()
	}
	if o.now.Sub(o.lastKeyExpiry) > keyExpiryInterval {
		o.lastKeyExpiry = o.now
		o.keys.Expire(o.now)
	}
}
