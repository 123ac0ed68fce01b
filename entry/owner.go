package entry

import (
	"context"
	"time"

	"github.com/figring/figring/answers"
	"github.com/figring/figring/claims"
	"github.com/figring/figring/decision/admission"
	"github.com/figring/figring/decision/dedup"
	"github.com/figring/figring/decision/retry"
	"github.com/figring/figring/decision/routing"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

const (
	// ownerQueueSize limits the events that wait for the owner's event loop.
	ownerQueueSize = 8192
	// maxEventBatch limits the events that the loop handles after the first one
	// before it dispatches tasks again.
	maxEventBatch = 256
	// ownerTickInterval is the maximum time between two runs of Owner.tick, and
	// minOwnerTickInterval the minimum time.
	ownerTickInterval    = 100 * time.Millisecond
	minOwnerTickInterval = time.Millisecond
	// answerCacheBytes limits the total size of the answers kept in memory for
	// resubmissions.
	answerCacheBytes = 24 << 20
	// maxAttempts limits the dispatches of one task. Each failed dispatch is proved
	// not to have started the task, so the limit can be high: usually the job's
	// timeout ends the attempts.
	maxAttempts = 1000
	// claimTimeout limits how long callers wait for a claim whose outcome is
	// unknown. The claim writer continues to resolve the outcome after that.
	claimTimeout = 3 * time.Second
	// storeRetryAfter is the retry delay in refusals that are caused by an
	// unreachable table.
	storeRetryAfter = 1 * time.Second
)

// ownerDeps holds the dependencies of an Owner.
type ownerDeps struct {
	self         wire.EntryInfo
	members      Membership
	claimWriter  *claims.Writer
	dispatcher   *dispatcher
	adopter      *adopter
	answerWriter *answers.Writer
	pool         rpcCaller
	peers        *messageTracker
	sessions     *sessionWatcher
	// admitting reports whether new work may be accepted, which requires a valid
	// lease and a fresh bundle.
	admitting func(now time.Time) bool
	router    routing.Router
	metrics   *Metrics
}

// Owner manages the jobs of the partitions that the entry owns, and the keyless
// requests of the callers connected to the entry. One goroutine, the event loop,
// owns all of its state and does no I/O. All inputs reach the loop as events
// through one bounded channel.
type Owner struct {
	ownerDeps
	ctx    context.Context
	events chan event

	// The event loop owns the fields below.
	now       time.Time
	keys      *dedup.Table
	queue     *admission.Queue
	jobs      map[model.JobKey]*runningJob
	deadlines deadlines
	targets   map[model.Incarnation]*knownTarget
	bundle    model.Bundle
	isFenced  bool
	// retryBudgets holds the retry budget of each caller by name.
	retryBudgets map[string]*retry.Budget
	// deferredFailures holds failures that can't be recorded before the lease is
	// valid again.
	deferredFailures []*model.Answer
	inFlight         int
	lastKeyExpiry    time.Time
	lastTick         time.Time
	// entryCount is the number of entries by which quotas are divided.
	entryCount         int
	lastCapacityUpdate time.Time
	// lastTargetAt is the last time at which a target could take work, initially
	// the start of the incarnation. See updateCapacity.
	lastTargetAt time.Time
}

// knownTarget is the state of a sidecar that reported to this entry.
type knownTarget struct {
	info          wire.Target
	lastMessageAt time.Time
	// open is set if the bundle allowed work for the target at the last check.
	open bool
	// noWorkUntil is the end of the pause after this entry could grant no permit for
	// the target, or zero. See pauseTarget.
	noWorkUntil time.Time
}

func newOwner(ctx context.Context, deps ownerDeps) *Owner {
	return &Owner{
		ownerDeps:    deps,
		lastTargetAt: time.Now(),
		ctx:          ctx,
		events:       make(chan event, ownerQueueSize),
		keys:         dedup.NewTable(answerCacheBytes),
		queue:        admission.NewQueue(),
		jobs:         make(map[model.JobKey]*runningJob),
		targets:      make(map[model.Incarnation]*knownTarget),
		retryBudgets: make(map[string]*retry.Budget),
	}
}

// run is the event loop. It handles events in batches until the context ends, and
// dispatches tasks after each batch.
func (o *Owner) run() {
	timer := time.NewTimer(ownerTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case first := <-o.events:
			o.now = time.Now()
			o.handle(first)
			o.handleBatch()
		case <-timer.C:
			o.now = time.Now()
			o.lastTick = o.now
			o.tick()
		}
		o.dispatch()
		timer.Reset(o.nextTick())
	}
}

// nextTick returns the time until the next deadline or until ownerTickInterval
// after the last tick, whichever is earlier. It counts from the last tick so that
// a steady stream of events does not postpone the tick.
func (o *Owner) nextTick() time.Duration {
	wait := o.lastTick.Add(ownerTickInterval).Sub(o.now)
	if len(o.deadlines) > 0 {
		wait = min(wait, o.deadlines[0].at.Sub(o.now))
	}
	return max(wait, minOwnerTickInterval)
}

func (o *Owner) handleBatch() {
	for range maxEventBatch {
		select {
		case next := <-o.events:
			o.handle(next)
		default:
			return
		}
	}
}

func (o *Owner) handle(next event) {
	switch e := next.(type) {
	case submitEvent:
		o.submit(e)
	case joinEvent:
		o.join(e)
	case cancelEvent:
		o.cancel(e)
	case claimResultEvent:
		o.claimEnded(e)
	case dispatchResultEvent:
		o.dispatchEnded(e.result)
	case renewalEvent:
		o.updateTarget(e)
	case adoptionResultEvent:
		o.adoptionResolved(e.result)
	case adoptionRetryEvent:
		if job, running := o.jobs[e.key]; running && job.adopted {
			o.resolveAdoption(job)
		}
	case acquireEvent:
		o.acquire(e)
	case releaseEvent:
		o.release(e)
	case fencedEvent:
		o.fence()
	case bundleChangedEvent:
		o.applyBundle(e.bundle)
	case statusEvent:
		e.answer <- o.status()
	}
}

// post passes an event to the loop. It reports false if the loop has ended.
func (o *Owner) post(e event) bool {
	select {
	case o.events <- e:
		return true
	case <-o.ctx.Done():
		return false
	}
}

// postAndWait posts an event and waits for the reply.
func (o *Owner) postAndWait(ctx context.Context, e event, answer <-chan wire.JobReply) wire.JobReply {
	if !o.post(e) {
		return refused(ownerHasMoved())
	}
	select {
	case reply := <-answer:
		return reply
	case <-ctx.Done():
		return refused(waitEnded())
	case <-o.ctx.Done():
		return refused(ownerHasMoved())
	}
}

// Submit runs a new job, or joins the job if its key is known, and returns the
// answer.
func (o *Owner) Submit(ctx context.Context, spec model.JobSpec) wire.JobReply {
	answer := make(chan wire.JobReply, 1)
	return o.postAndWait(ctx, submitEvent{spec: spec, digest: spec.Digest(), received: time.Now(), answer: answer}, answer)
}

// Request runs a request without a key, which the caller can't resubmit.
func (o *Owner) Request(ctx context.Context, spec model.JobSpec) wire.JobReply {
	answer := make(chan wire.JobReply, 1)
	return o.postAndWait(ctx, submitEvent{spec: spec, keyless: true, received: time.Now(), answer: answer}, answer)
}

// Join returns the answer of a job. If the job is in progress and request.Wait is
// false, it returns a refusal that says so instead of waiting.
func (o *Owner) Join(ctx context.Context, request *wire.JoinRequest) wire.JobReply {
	answer := make(chan wire.JobReply, 1)
	return o.postAndWait(ctx, joinEvent{request: *request, answer: answer}, answer)
}

// Cancel cancels a job and returns its answer.
func (o *Owner) Cancel(ctx context.Context, key model.JobKey) wire.JobReply {
	answer := make(chan wire.JobReply, 1)
	return o.postAndWait(ctx, cancelEvent{key: key, answer: answer}, answer)
}

// Acquire assigns a partition with its stored claims to the owner. It returns when
// the loop accepts submissions for the partition.
func (o *Owner) Acquire(partition int, stored []claims.Stored) {
	done := make(chan struct{})
	if o.post(acquireEvent{partition: partition, claims: stored, done: done}) {
		o.waitFor(done)
	}
}

// Release ends the ownership of a partition. It returns when no claim write of the
// partition is in progress any more.
func (o *Owner) Release(partition int) {
	done := make(chan struct{})
	if o.post(releaseEvent{partition: partition, done: done}) {
		o.waitFor(done)
	}
	_ = o.claimWriter.Flush(o.ctx)
}

func (o *Owner) waitFor(done <-chan struct{}) {
	select {
	case <-done:
	case <-o.ctx.Done():
	}
}

// Idle reports whether no job is in progress.
func (o *Owner) Idle(ctx context.Context) bool {
	status, ok := o.requestStatus(ctx)
	return ok && status.Jobs == 0
}

// Status returns a summary of the loop's state, or the zero value if the loop does
// not answer before ctx ends.
func (o *Owner) Status(ctx context.Context) OwnerStatus {
	status, _ := o.requestStatus(ctx)
	return status
}

// requestStatus requests the status from the loop. It reports false if the loop
// does not answer.
func (o *Owner) requestStatus(ctx context.Context) (OwnerStatus, bool) {
	answer := make(chan OwnerStatus, 1)
	if !o.post(statusEvent{answer: answer}) {
		return OwnerStatus{}, false
	}
	select {
	case status := <-answer:
		return status, true
	case <-ctx.Done():
	case <-o.ctx.Done():
	}
	return OwnerStatus{}, false
}

func (o *Owner) postRenewal(request *wire.RenewRequest) {
	o.post(renewalEvent{target: request.Target, load: request.Load, wanted: request.HasQueued})
}
