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
	// ownerBacklog bounds the events that wait for the owner's loop.
	ownerQueueSize = 8192
	// ownerBatch bounds the events taken in between two rounds of dispatching.
	maxEventBatch = 256
	// ownerTick bounds the interval of the loop's look at what depends on time
	// alone, and minOwnerTick is the least one.
	ownerTickInterval    = 100 * time.Millisecond
	minOwnerTickInterval = time.Millisecond
	// answerBudget bounds the bytes of answers kept for resubmissions.
	answerCacheBytes = 24 << 20
	// maxAttempts bounds the dispatches of one task. Each failed one is proved
	// not to have started anything; the job's timeout is the usual bound.
	maxAttempts = 1000
	// claimPatience bounds how long callers wait for a claim whose outcome is
	// unknown. The claim itself goes on being settled.
	claimTimeout = 3 * time.Second
	// storeRetryAfter is told to callers while the table can't be reached.
	storeRetryAfter = 1 * time.Second
)

// ownerDeps is what an owner works with.
type ownerDeps struct {
	self         wire.EntryInfo
	members      Membership
	claimWriter  *claims.Writer
	dispatcher   *dispatcher
	adopter      *adopter
	answerWriter *answers.Keeper
	pool         rpcCaller
	peers        *peers
	sessions     *sessionWatcher
	// admitting reports whether new work may be taken now: the lease is valid
	// and the bundle is fresh.
	admitting func(now time.Time) bool
	router    routing.Router
	metrics   *Metrics
}

// Owner decides about the jobs of the partitions that the entry owns. All its
// state belongs to one goroutine, which does no I/O; everything reaches it as
// an event through one bounded channel.
type Owner struct {
	ownerDeps
	ctx    context.Context
	events chan event

	// The fields below belong to the loop.
	now       time.Time
	keys      *dedup.Table
	queue     *admission.Queue
	jobs      map[model.JobKey]*runningJob
	deadlines deadlines
	targets   map[model.Incarnation]*knownTarget
	bundle    model.Bundle
	isFenced  bool
	// budgets bounds the repetitions of each caller's requests.
	retryBudgets map[string]*retry.Budget
	// undecided holds failures that wait for a valid lease.
	deferredFailures []*model.Answer
	inFlight         int
	lastKeyExpiry    time.Time
	lastTick         time.Time
	// entries is the number of entries that quotas were divided by.
	entryCount         int
	lastCapacityUpdate time.Time
	// lastTarget is the last time at which a target took work, or the start of
	// the incarnation; see reviewCapacity.
	lastTargetAt time.Time
}

// knownTarget is a sidecar that reported to this entry.
type knownTarget struct {
	info          wire.Target
	lastMessageAt time.Time
	// open is what the bundle allowed at the last look.
	open bool
	// parkedUntil keeps work away until then; see noteHandBack.
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

// run takes events in until the context ends. Events are taken in batches, and
// tasks are sent once after each batch.
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

// nextTick returns the time until the next deadline of a job, or until ownerTick
// after the last tick: events that keep coming must not put it off.
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

// post hands an event to the loop. It reports false when the loop has ended.
func (o *Owner) post(e event) bool {
	select {
	case o.events <- e:
		return true
	case <-o.ctx.Done():
		return false
	}
}

// ask posts an event and waits for its answer.
func (o *Owner) postAndWait(ctx context.Context, e event, answer <-chan wire.JobReply) wire.JobReply {
	if !o.post(e) {
		return refused(ownerHasMoved())
	}
	select {
	case reply := <-answer:
		return reply
	case <-ctx.Done():
		return refused(gaveUp())
	case <-o.ctx.Done():
		return refused(ownerHasMoved())
	}
}

// Submit runs a job, or recognises a resubmission, and returns its answer.
func (o *Owner) Submit(ctx context.Context, spec model.JobSpec) wire.JobReply {
	answer := make(chan wire.JobReply, 1)
	return o.postAndWait(ctx, submitEvent{spec: spec, digest: spec.Digest(), received: time.Now(), answer: answer}, answer)
}

// Request runs work that nobody can submit again.
func (o *Owner) Request(ctx context.Context, spec model.JobSpec) wire.JobReply {
	answer := make(chan wire.JobReply, 1)
	return o.postAndWait(ctx, submitEvent{spec: spec, keyless: true, received: time.Now(), answer: answer}, answer)
}

// Join returns the answer of a job, or its state when the request says not to
// wait.
func (o *Owner) Join(ctx context.Context, request *wire.JoinRequest) wire.JobReply {
	answer := make(chan wire.JobReply, 1)
	return o.postAndWait(ctx, joinEvent{request: *request, answer: answer}, answer)
}

// Cancel ends a job.
func (o *Owner) Cancel(ctx context.Context, key model.JobKey) wire.JobReply {
	answer := make(chan wire.JobReply, 1)
	return o.postAndWait(ctx, cancelEvent{key: key, answer: answer}, answer)
}

// Acquire hands a partition and its claims to the loop and returns when the
// loop decides about the partition.
func (o *Owner) Acquire(partition int, stored []claims.Stored) {
	done := make(chan struct{})
	if o.post(acquireEvent{partition: partition, claims: stored, done: done}) {
		o.waitFor(done)
	}
}

// Release takes a partition from the loop and returns when no claim of it is
// being written any more.
func (o *Owner) Release(partition int) {
	done := make(chan struct{})
	if o.post(releaseEvent{partition: partition, done: done}) {
		o.waitFor(done)
	}
	_ = o.claimWriter.Settle(o.ctx)
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

// Status sums up the loop's state.
func (o *Owner) Status(ctx context.Context) OwnerStatus {
	status, _ := o.requestStatus(ctx)
	return status
}

// inspect asks the loop for its state. It reports false when no answer came.
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
	o.post(renewalEvent{target: request.Target, load: request.Load, wanted: request.Wanted})
}
