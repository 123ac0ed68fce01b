package entry

import (
	"errors"
	"time"

	"github.com/figring/figring/claims"
	"github.com/figring/figring/decision/dedup"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// acquire takes a partition over together with the claims in it.
func (o *Owner) acquire(e acquired) {
	o.keys.BeginLoad(e.partition)
	for _, stored := range e.claims {
		o.keys.LoadClaim(stored.Key, stored.Digest, stored.Claimer, stored.Adoptions)
	}
	o.keys.Serve(e.partition)
	close(e.done)
}

// release stops deciding about new keys of a partition. Jobs in progress go on
// here, and the new owner joins them.
func (o *Owner) release(e released) {
	o.keys.DropPartition(e.partition)
	close(e.done)
}

// fence ends this incarnation: another entry decides about its jobs now. Those
// who wait are sent there.
func (o *Owner) fence() {
	o.isFenced = true
	o.undecided = nil
	for partition := range model.Partitions {
		o.keys.DropPartition(partition)
	}
	for _, job := range o.jobs {
		if job.keyless {
			continue
		}
		o.forget(job)
		job.reply(refused(ownerHasMoved()))
	}
}

// adopt answers a submission whose key another entry claimed. While the
// claimer's session lives the job is its own.
func (o *Owner) adopt(e submitted, record dedup.Record) {
	if claimer, alive := o.members.Live(record.Claimer); alive {
		o.askClaimer(claimer, joined{request: o.joinRequest(e.spec.Key, true), answer: e.answer})
		return
	}
	if !o.admitting(o.now) {
		e.answer <- refused(adoptLater())
		return
	}
	o.metrics.Adoptions.Inc(1)
	o.keys.Adopted(e.spec.Key)
	job := o.newJob(e, true)
	job.orphan = orphan{e.spec.Key, record.Claimer}
	job.adopting = true
	o.claim(job, e.digest, record.Adoptions+1)
}

// adoptionClaimed takes in the outcome of the claim by which this entry takes a
// job over. Without it the next owner would ask the first claimer for the job
// and know nothing of what was started here.
func (o *Owner) adoptionClaimed(job *runningJob, err error) {
	switch {
	case !job.adopting:
	case err == nil:
		job.adopting = false
		o.lookInto(job)
	case errors.Is(err, claims.ErrClaimUnknown):
		job.reply(refused(adoptLater()))
	case errors.Is(err, claims.ErrFenced):
		o.forget(job)
		job.reply(refused(ownerHasMoved()))
	default:
		o.keys.Released(job.spec.Key)
		o.forget(job)
		job.reply(refused(adoptLater()))
	}
}

// lookInto has the adopter ask what became of an adopted job.
func (o *Owner) lookInto(job *runningJob) {
	if !o.adopter.ask(job.orphan) {
		o.lookAgain(job)
	}
}

// lookAgain repeats the question after a pause. Those who wait are told to come
// back; the job is this entry's until its timeout.
func (o *Owner) lookAgain(job *runningJob) {
	key := job.spec.Key
	job.reply(refused(adoptLater()))
	time.AfterFunc(adoptionRetry, func() { o.post(lookedAgain{key}) })
}

// adoptLater refuses a resubmission that can't be looked into now. The job may
// have been run.
func adoptLater() *model.Refusal {
	return &model.Refusal{
		Code:       model.CodeStoreUnavailable,
		Outcome:    model.Unknown,
		Detail:     "the entry that had the job is gone and the job can't be looked into now; resubmit with the same key",
		RetryAfter: storeRetryAfter,
	}
}

// jobAdopted takes in what the sidecars know of a job.
func (o *Owner) jobAdopted(result adoptionResult) {
	job, running := o.jobs[result.key]
	if !running {
		return
	}
	if result.err != nil {
		o.lookAgain(job)
		return
	}
	if result.answer != nil {
		o.finish(job, *result.answer)
		return
	}
	found := make(map[int]bool)
	for _, task := range result.event.Tasks {
		found[task.Record.Ref.Index] = true
	}
	o.queue.Adopt(result.key, max(0, len(job.spec.Tasks)-len(found)), o.now)
	o.apply(job, result.event)
}

func (o *Owner) joinRequest(key model.JobKey, wait bool) wire.JoinRequest {
	return wire.JoinRequest{From: o.self.Incarnation, Key: key, Wait: wait}
}

// joinClaimer answers a question about a job that another entry claimed.
func (o *Owner) joinClaimer(e joined, claimer model.Incarnation) {
	info, alive := o.members.Live(claimer)
	if alive {
		e.request.From = o.self.Incarnation
		o.askClaimer(info, e)
		return
	}
	o.findStored(orphan{e.request.Key, claimer}, e.answer, &model.Refusal{
		Code:       model.CodeInProgress,
		Outcome:    model.Unknown,
		Detail:     "the entry that had the job is gone; resubmit it with the same key to have it looked into",
		RetryAfter: ownerRetryInterval,
	})
}

// findStored answers with a job's stored answer, or else with the refusal. It
// reads beside the loop.
func (o *Owner) findStored(job orphan, answer chan<- wire.JobReply, otherwise *model.Refusal) {
	go func() {
		stored, err := o.adopter.stored(o.ctx, job)
		if err != nil || stored == nil {
			answer <- refused(otherwise)
			return
		}
		answer <- wire.JobReply{Answer: stored}
	}()
}

// cancelAtClaimer cancels a job at the entry that claimed it, beside the loop.
// When that one is gone, the job's stored answer is looked for.
func (o *Owner) cancelAtClaimer(e cancelled, claimer model.Incarnation) {
	info, alive := o.members.Live(claimer)
	if !alive {
		o.joinClaimer(joined{request: o.joinRequest(e.key, false), answer: e.answer}, claimer)
		return
	}
	request := wire.CancelRequest{From: o.self.Incarnation, Key: e.key}
	go o.callClaimer(info, wire.MethodCancel, &request, e.answer)
}

// askClaimer joins the job at the entry that claimed it, beside the loop.
func (o *Owner) askClaimer(claimer wire.EntryInfo, e joined) {
	go o.callClaimer(claimer, wire.MethodJoin, &e.request, e.answer)
}

// callClaimer passes on what the claimer answers. A claimer that knows nothing
// of the job does not decide about its key any more.
func (o *Owner) callClaimer(claimer wire.EntryInfo, method string, request any, answer chan<- wire.JobReply) {
	ctx, release := o.watch.bind(o.ctx, claimer.Incarnation)
	defer release()
	var reply wire.JobReply
	err := o.pool.Call(ctx, claimer.Address, method, request, &reply)
	if err != nil || (reply.Refusal != nil && reply.Refusal.Code == model.CodeNotFound) {
		reply = refused(ownerHasMoved())
	}
	answer <- reply
}

// applyBundle takes a new bundle into force: routing at once, and permits of
// targets that are closed by it are revoked so that their queues come back
// without waiting for the permits' end.
func (o *Owner) applyBundle(bundle model.Bundle) {
	if bundle.Version < o.bundle.Version {
		return
	}
	o.bundle = bundle
	o.dropBudgets(bundle)
	entries, _ := o.members.Entries()
	o.queue.ApplyBundle(bundle, max(1, len(entries)), o.now)
	o.router.SetEjectionShare(bundle.Limits.EjectionShare)
	o.router.SetOpen(func(target wire.Target) bool {
		return bundle.ZoneOpen(target.Zone) && bundle.TargetOpen(target.Sidecar)
	})
	for _, target := range o.targets {
		open := bundle.ZoneOpen(target.info.Zone) && bundle.TargetOpen(target.info.Sidecar)
		if target.open && !open {
			o.metrics.Revocations.Inc(1)
			go o.dispatcher.revoke(o.ctx, target.info.Address, bundle.Version)
		}
		target.open = open
	}
}

// status sums up the loop's state.
func (o *Owner) status() OwnerStatus {
	status := OwnerStatus{Jobs: len(o.jobs), Queued: o.queue.Waiting(), Running: o.inFlight, Keys: o.keys.Len()}
	for _, target := range o.targets {
		status.Targets = append(status.Targets, TargetStatus{
			Sidecar:     target.info.Sidecar,
			Incarnation: target.info.Incarnation,
			Zone:        target.info.Zone,
			Worker:      target.info.Worker,
			State:       string(target.info.State),
			Open:        target.open,
			Slots:       target.info.Slots,
			HeardMsAgo:  o.now.Sub(target.heardAt).Milliseconds(),
		})
	}
	return status
}
