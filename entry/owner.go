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
	ownerBacklog = 8192
	// ownerBatch bounds the events taken in between two rounds of dispatching.
	ownerBatch = 256
	// ownerTick bounds the interval of the loop's look at what depends on time
	// alone, and minOwnerTick is the least one.
	ownerTick    = 100 * time.Millisecond
	minOwnerTick = time.Millisecond
	// answerBudget bounds the bytes of answers kept for resubmissions.
	answerBudget = 24 << 20
	// maxAttempts bounds the dispatches of one task. Each failed one is proved
	// not to have started anything; the job's timeout is the usual bound.
	maxAttempts = 1000
	// claimPatience bounds how long callers wait for a claim whose outcome is
	// unknown. The claim itself goes on being settled.
	claimPatience = 3 * time.Second
	// storeRetryAfter is told to callers while the table can't be reached.
	storeRetryAfter = 1 * time.Second
)

// ownerDeps is what an owner works with.
type ownerDeps struct {
	self       wire.EntryInfo
	members    Membership
	writer     *claims.Writer
	dispatcher *dispatcher
	adopter    *adopter
	keeper     *answers.Keeper
	pool       rpcCaller
	peers      *messageTracker
	watch      *ownerWatch
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
	budgets map[string]*retry.Budget
	// undecided holds failures that wait for a valid lease.
	undecided []*model.Answer
	inFlight  int
	lastSweep time.Time
	lastTick  time.Time
	// entries is the number of entries that quotas were divided by.
	entries      int
	lastCapacity time.Time
	// lastTarget is the last time at which a target took work, or the start of
	// the incarnation; see reviewCapacity.
	lastTarget time.Time
}

// knownTarget is a sidecar that reported to this entry.
type knownTarget struct {
	info    wire.Target
	heardAt time.Time
	// open is what the bundle allowed at the last look.
	open bool
	// parkedUntil keeps work away until then; see noteHandBack.
	parkedUntil time.Time
}

func newOwner(ctx context.Context, deps ownerDeps) *Owner {
	return &Owner{
		ownerDeps:  deps,
		lastTarget: time.Now(),
		ctx:        ctx,
		events:     make(chan event, ownerBacklog),
		keys:       dedup.NewTable(answerBudget),
		queue:      admission.NewQueue(),
		jobs:       make(map[model.JobKey]*runningJob),
		targets:    make(map[model.Incarnation]*knownTarget),
		budgets:    make(map[string]*retry.Budget),
	}
}

// run takes events in until the context ends. Events are taken in batches, and
// tasks are sent once after each batch.
func (o *Owner) run() {
	timer := time.NewTimer(ownerTick)
	defer timer.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case first := <-o.events:
			o.now = time.Now()
			o.take(first)
			o.drainBatch()
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
	wait := o.lastTick.Add(ownerTick).Sub(o.now)
	if len(o.deadlines) > 0 {
		wait = min(wait, o.deadlines[0].at.Sub(o.now))
	}
	return max(wait, minOwnerTick)
}

func (o *Owner) drainBatch() {
	for range ownerBatch {
		select {
		case next := <-o.events:
			o.take(next)
		default:
			return
		}
	}
}

func (o *Owner) take(next event) {
	switch e := next.(type) {
	case submitted:
		o.submit(e)
	case joined:
		o.join(e)
	case cancelled:
		o.cancel(e)
	case claimEnded:
		o.claimEnded(e)
	case taskEnded:
		o.taskEnded(e.end)
	case renewed:
		o.targetRenewed(e)
	case adopted:
		o.jobAdopted(e.result)
	case lookedAgain:
		if job, running := o.jobs[e.key]; running && job.adopted {
			o.lookInto(job)
		}
	case acquired:
		o.acquire(e)
	case released:
		o.release(e)
	case fenced:
		o.fence()
	case bundleChanged:
		o.applyBundle(e.bundle)
	case inspected:
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
func (o *Owner) ask(ctx context.Context, e event, answer <-chan wire.JobReply) wire.JobReply {
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

// Submit runs a job, or recognises a resubmission, and returns its answer.
func (o *Owner) Submit(ctx context.Context, spec model.JobSpec) wire.JobReply {
	answer := make(chan wire.JobReply, 1)
	return o.ask(ctx, submitted{spec: spec, digest: spec.Digest(), received: time.Now(), answer: answer}, answer)
}

// Request runs work that nobody can submit again.
func (o *Owner) Request(ctx context.Context, spec model.JobSpec) wire.JobReply {
	answer := make(chan wire.JobReply, 1)
	return o.ask(ctx, submitted{spec: spec, keyless: true, received: time.Now(), answer: answer}, answer)
}

// Join returns the answer of a job, or its state when the request says not to
// wait.
func (o *Owner) Join(ctx context.Context, request *wire.JoinRequest) wire.JobReply {
	answer := make(chan wire.JobReply, 1)
	return o.ask(ctx, joined{request: *request, answer: answer}, answer)
}

// Cancel ends a job.
func (o *Owner) Cancel(ctx context.Context, key model.JobKey) wire.JobReply {
	answer := make(chan wire.JobReply, 1)
	return o.ask(ctx, cancelled{key: key, answer: answer}, answer)
}

// Acquire hands a partition and its claims to the loop and returns when the
// loop decides about the partition.
func (o *Owner) Acquire(partition int, stored []claims.Stored) {
	done := make(chan struct{})
	if o.post(acquired{partition: partition, claims: stored, done: done}) {
		o.await(done)
	}
}

// Release takes a partition from the loop and returns when no claim of it is
// being written any more.
func (o *Owner) Release(partition int) {
	done := make(chan struct{})
	if o.post(released{partition: partition, done: done}) {
		o.await(done)
	}
	_ = o.writer.Settle(o.ctx)
}

func (o *Owner) await(done <-chan struct{}) {
	select {
	case <-done:
	case <-o.ctx.Done():
	}
}

// Idle reports whether no job is in progress.
func (o *Owner) Idle(ctx context.Context) bool {
	status, ok := o.inspect(ctx)
	return ok && status.Jobs == 0
}

// Status sums up the loop's state.
func (o *Owner) Status(ctx context.Context) OwnerStatus {
	status, _ := o.inspect(ctx)
	return status
}

// inspect asks the loop for its state. It reports false when no answer came.
func (o *Owner) inspect(ctx context.Context) (OwnerStatus, bool) {
	answer := make(chan OwnerStatus, 1)
	if !o.post(inspected{answer: answer}) {
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

func (o *Owner) renewed(request *wire.RenewRequest) {
	o.post(renewed{target: request.Target, load: request.Load, wanted: request.Wanted})
}
