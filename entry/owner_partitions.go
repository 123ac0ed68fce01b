package entry

import (
	"errors"
	"time"

	"github.com/figring/figring/claims"
	"github.com/figring/figring/decision/dedup"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// acquire loads the stored claims of a partition and starts to accept submissions
// for it.
func (o *Owner) acquire(e acquireEvent) {
	o.keys.BeginLoad(e.partition)
	for _, stored := range e.claims {
		o.keys.LoadClaim(stored.Key, stored.Digest, stored.Claimer, stored.Adoptions)
	}
	o.keys.Serve(e.partition)
	close(e.done)
}

// release stops accepting new keys of a partition. Jobs in progress continue at
// this entry, and the new owner joins them.
func (o *Owner) release(e releaseEvent) {
	o.keys.DropPartition(e.partition)
	close(e.done)
}

// fence ends this incarnation after its session was taken over. Other entries own
// its partitions now, and the waiters are refused with CodeOwnerMoved so that they
// ask the new owner.
func (o *Owner) fence() {
	o.isFenced = true
	o.deferredFailures = nil
	for partition := range model.Partitions {
		o.keys.DropPartition(partition)
	}
	for _, job := range o.jobs {
		if job.keyless {
			continue
		}
		o.removeJob(job)
		job.reply(refused(ownerHasMoved()))
	}
}

// adopt handles a submission whose key another entry claimed. If the claimer's
// session is alive, it joins the job there. Otherwise this entry adopts the job.
func (o *Owner) adopt(e submitEvent, record dedup.Record) {
	if claimer, alive := o.members.Live(record.Claimer); alive {
		o.joinAtClaimer(claimer, joinEvent{request: o.joinRequest(e.spec.Key, true), answer: e.answer})
		return
	}
	if !o.admitting(o.now) {
		e.answer <- refused(adoptionUnavailable())
		return
	}
	o.metrics.Adoptions.Inc(1)
	o.keys.Adopted(e.spec.Key)
	job := o.newJob(e, true)
	job.orphan = orphanedJob{e.spec.Key, record.Claimer}
	job.claimingAdoption = true
	o.claim(job, e.digest, record.Adoptions+1)
}

// adoptionClaimed handles the outcome of the claim by which this entry adopts a
// job. Without that claim, the next owner would look for the job at the first
// claimer and would not know of the tasks that this entry started.
func (o *Owner) adoptionClaimed(job *runningJob, err error) {
	switch {
	case !job.claimingAdoption:
	case err == nil:
		job.claimingAdoption = false
		o.resolveAdoption(job)
	case errors.Is(err, claims.ErrClaimUnknown):
		job.reply(refused(adoptionUnavailable()))
	case errors.Is(err, claims.ErrFenced):
		o.removeJob(job)
		job.reply(refused(ownerHasMoved()))
	default:
		o.keys.Released(job.spec.Key)
		o.removeJob(job)
		job.reply(refused(adoptionUnavailable()))
	}
}

// resolveAdoption queues the lookup of an adopted job.
func (o *Owner) resolveAdoption(job *runningJob) {
	if !o.adopter.enqueue(job.orphan) {
		o.retryAdoption(job)
	}
}

// retryAdoption retries the lookup of an adopted job after adoptionRetryDelay.
// Waiters are refused and asked to retry; this entry keeps the job until its
// timeout.
func (o *Owner) retryAdoption(job *runningJob) {
	key := job.spec.Key
	job.reply(refused(adoptionUnavailable()))
	time.AfterFunc(adoptionRetryDelay, func() { o.post(adoptionRetryEvent{key}) })
}

// adoptionUnavailable returns the refusal of a resubmission of a job that can't be
// looked up now. The job may have been run.
func adoptionUnavailable() *model.Refusal {
	return &model.Refusal{
		Code:       model.CodeStoreUnavailable,
		Outcome:    model.Unknown,
		Detail:     "the entry that had the job is gone and the job can't be looked into now; resubmit with the same key",
		RetryAfter: storeRetryAfter,
	}
}

// adoptionResolved handles the result of the lookup of an adopted job.
func (o *Owner) adoptionResolved(result adoptionResult) {
	job, running := o.jobs[result.key]
	if !running {
		return
	}
	if result.err != nil {
		o.retryAdoption(job)
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

// joinClaimedElsewhere joins a job that another entry claimed. If that entry is
// gone, it replies with the stored answer of the job, or with a refusal.
func (o *Owner) joinClaimedElsewhere(e joinEvent, claimer model.Incarnation) {
	info, alive := o.members.Live(claimer)
	if alive {
		e.request.From = o.self.Incarnation
		o.joinAtClaimer(info, e)
		return
	}
	o.replyStored(orphanedJob{e.request.Key, claimer}, e.answer, &model.Refusal{
		Code:       model.CodeInProgress,
		Outcome:    model.Unknown,
		Detail:     "the entry that had the job is gone; resubmit it with the same key to have it looked into",
		RetryAfter: ownerRetryInterval,
	})
}

// replyStored replies with the stored answer of a job, or with fallback if there is
// none. It reads the store outside the event loop.
func (o *Owner) replyStored(job orphanedJob, answer chan<- wire.JobReply, fallback *model.Refusal) {
	go func() {
		stored, err := o.adopter.findStored(o.ctx, job)
		if err != nil || stored == nil {
			answer <- refused(fallback)
			return
		}
		answer <- wire.JobReply{Answer: stored}
	}()
}

// cancelAtClaimer cancels a job at the entry that claimed it, outside the event
// loop. If that entry is gone, it replies with the stored answer of the job, or
// with a refusal.
func (o *Owner) cancelAtClaimer(e cancelEvent, claimer model.Incarnation) {
	info, alive := o.members.Live(claimer)
	if !alive {
		o.joinClaimedElsewhere(joinEvent{request: o.joinRequest(e.key, false), answer: e.answer}, claimer)
		return
	}
	request := wire.CancelRequest{From: o.self.Incarnation, Key: e.key}
	go o.callClaimer(info, wire.MethodCancel, &request, e.answer)
}

// joinAtClaimer joins a job at the entry that claimed it, outside the event loop.
func (o *Owner) joinAtClaimer(claimer wire.EntryInfo, e joinEvent) {
	go o.callClaimer(claimer, wire.MethodJoin, &e.request, e.answer)
}

// callClaimer calls the claimer and passes on its reply. If the call fails or the
// claimer does not know the job, it replies that the owner has moved, because the
// claimer no longer owns the key.
func (o *Owner) callClaimer(claimer wire.EntryInfo, method string, request any, answer chan<- wire.JobReply) {
	ctx, release := o.sessions.bind(o.ctx, claimer.Incarnation)
	defer release()
	var reply wire.JobReply
	err := o.pool.Call(ctx, claimer.Address, method, request, &reply)
	if err != nil || (reply.Refusal != nil && reply.Refusal.Code == model.CodeNotFound) {
		reply = refused(ownerHasMoved())
	}
	answer <- reply
}

// applyBundle applies a new bundle. Routing follows it immediately, and the permits
// of targets that the bundle closes are revoked, so that the sidecars hand back
// their queued tasks without waiting for the permits to expire.
func (o *Owner) applyBundle(bundle model.Bundle) {
	if bundle.Version < o.bundle.Version {
		return
	}
	o.bundle = bundle
	o.removeUnusedBudgets(bundle)
	entries, _ := o.members.Entries()
	o.queue.ApplyBundle(bundle, max(1, len(entries)), o.now)
	o.router.SetMaxEjectionPercent(bundle.Limits.EjectionShare)
	o.router.SetAllowed(func(target wire.Target) bool {
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

// status returns a summary of the loop's state.
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
			HeardMsAgo:  o.now.Sub(target.lastMessageAt).Milliseconds(),
		})
	}
	return status
}
