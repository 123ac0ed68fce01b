package entry

import (
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
// was handed back keeps its place.
func (o *Owner) enqueue(job *runningJob, event jobstate.Event, indexes []int) {
	if _, back := event.(jobstate.HandedBack); !back {
		o.queue.Enqueue(job.spec.Key, indexes, o.now)
		return
	}
	for _, index := range indexes {
		o.queue.Requeue(model.TaskRef{Key: job.spec.Key, Index: index}, o.now)
	}
}

// finish stores the terminal answer and tells everyone who waits.
func (o *Owner) finish(job *runningJob, answer model.Answer) {
	if !job.keyless {
		o.keys.Answered(job.spec.Key, &answer)
	}
	o.forget(job)
	o.metrics.Finished(job.spec.Key.Caller, &answer)
	job.reply(wire.JobReply{Answer: &answer})
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
		if job, running := o.jobs[key]; running && !o.now.Before(job.state.Deadline()) {
			o.apply(job, jobstate.DeadlinePassed{})
		}
	}
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
