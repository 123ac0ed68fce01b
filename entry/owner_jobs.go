package entry

import (
	"github.com/figring/figring/decision/admission"
	"github.com/figring/figring/decision/jobstate"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// apply hands an event to a job and does what it asks for.
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

// enqueue puts tasks that are proved not started into the fair queue. One that
// was handed back keeps its place, and the caller is charged again for one that is
// retried.
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

// finish stores the terminal answer and tells everyone who waits. A complete
// answer is a fact. A failure is a decision, and only the holder of the lease
// takes it: another entry may have adopted the job and be running it.
func (o *Owner) finish(job *runningJob, answer model.Answer) {
	if answer.State == model.Failed && !job.keyless && !o.holdsLease() {
		o.postpone(job, &answer)
		return
	}
	if !job.keyless {
		o.answered(&answer)
	}
	o.forget(job)
	o.noteRepeats(job)
	o.metrics.CountJob(job.spec.Key.Caller, &answer)
	job.reply(wire.JobReply{Answer: &answer})
}

// answered stores a terminal answer, here and behind in the platform's store.
func (o *Owner) answered(answer *model.Answer) {
	if o.keys.Answered(answer.Key, answer) {
		o.keeper.Keep(answer)
	}
}

// postpone keeps a failure until the lease is valid again. Those who wait are
// told at once that the outcome is unknown.
func (o *Owner) postpone(job *runningJob, answer *model.Answer) {
	o.undecided = append(o.undecided, answer)
	o.forget(job)
	job.reply(refused(endUndecided(answer.Code)))
}

// endUndecided refuses in place of a failure that this entry may not tell while
// its lease is over.
func endUndecided(code model.Code) *model.Refusal {
	return &model.Refusal{
		Code:       code,
		Outcome:    model.Unknown,
		Detail:     "the store can't be reached, so the job's end can't be decided here; resubmit with the same key",
		RetryAfter: storeRetryAfter,
	}
}

// decide takes the postponed failures once the lease is valid again.
func (o *Owner) decide() {
	if len(o.undecided) == 0 || !o.holdsLease() {
		return
	}
	for _, answer := range o.undecided {
		o.answered(answer)
		o.metrics.CountJob(answer.Key.Caller, answer)
	}
	o.undecided = nil
}

func (o *Owner) forget(job *runningJob) {
	delete(o.jobs, job.spec.Key)
	o.queue.Remove(job.spec.Key, o.now)
}

// withdraw takes back what a finished job still has at the sidecars, with one
// message to each.
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

// tick does what depends on time alone.
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
	o.decide()
	o.dropSilentTargets()
	if o.now.Sub(o.lastCapacity) > capacityInterval {
		o.lastCapacity = o.now
		o.reviewCapacity()
	}
	if o.now.Sub(o.lastSweep) > expireInterval {
		o.lastSweep = o.now
		o.keys.Expire(o.now)
	}
}
