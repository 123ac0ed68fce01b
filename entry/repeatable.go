package entry

import (
	"slices"
	"time"

	"github.com/figring/figring/decision/request"
	"github.com/figring/figring/decision/retry"
	"github.com/figring/figring/decision/routing"
	"github.com/figring/figring/model"
)

const (
	// hedgeDelayFactor is the multiple of the expected time to completion after
	// which an unanswered request is sent to a second worker.
	hedgeDelayFactor = 3
	// minHedgeDelay is the minimum delay before a hedge.
	minHedgeDelay = 100 * time.Millisecond
	// maxRequestRuns limits the dispatches of one request that may have been run.
	maxRequestRuns = 4
)

// repeatableRequest is the owner's state of an idempotent request without a key.
type repeatableRequest struct {
	state *request.Request
	// tried lists the sidecars to which the request was sent, without those that
	// handed it back.
	tried []string
	// hedgeAt is the time at which a second dispatch is due, or zero for none.
	hedgeAt time.Time
}

// isRepeatable reports whether work may be run more than once. Work with a key may
// not, because a resubmission must get the answer of the one run.
func isRepeatable(e submitEvent) bool {
	return e.keyless && e.spec.Idempotent && len(e.spec.Tasks) == 1
}

// makeRepeatable lets a new request be retried and hedged within its caller's
// budget.
func (o *Owner) makeRepeatable(job *runningJob) {
	budget := o.retryBudget(job.spec.Key.Caller)
	budget.RecordRequest(o.now)
	state := request.New(request.Config{
		Key:         job.spec.Key,
		Deadline:    job.state.Deadline(),
		MaxAttempts: maxAttempts,
		MaxRuns:     maxRequestRuns,
		Budget:      budget,
	})
	job.repeatable = &repeatableRequest{state: state}
	job.state = state
}

// retryBudget returns the retry budget of a caller and creates it if necessary.
func (o *Owner) retryBudget(caller string) *retry.Budget {
	callerBudget := o.retryBudgets[caller]
	if callerBudget == nil {
		callerBudget = retry.New(retry.Config{})
		o.retryBudgets[caller] = callerBudget
	}
	return callerBudget
}

// removeUnusedBudgets removes the budgets of callers that the bundle no longer
// names.
func (o *Owner) removeUnusedBudgets(bundle model.Bundle) {
	for name := range o.retryBudgets {
		named := func(caller model.Caller) bool { return caller.Name == name }
		if !slices.ContainsFunc(bundle.Callers, named) {
			delete(o.retryBudgets, name)
		}
	}
}

// pickTarget chooses a target. For a repeated request it prefers sidecars that have
// not tried the request and falls back to any sidecar.
func (o *Owner) pickTarget(job *runningJob, index int) (routing.Choice, bool) {
	wanted := o.routingRequest(job, index)
	if job.repeatable == nil || len(job.repeatable.tried) == 0 {
		return o.router.Pick(wanted, o.now)
	}
	wanted.Exclude = job.repeatable.tried
	if choice, ok := o.router.Pick(wanted, o.now); ok {
		return choice, true
	}
	wanted.Exclude = nil
	return o.router.Pick(wanted, o.now)
}

// recordRepeatableDispatch records a dispatch of a repeatable request and schedules
// a hedge if the expected time to completion is known.
func (o *Owner) recordRepeatableDispatch(job *runningJob, choice routing.Choice) {
	job.repeatable.tried = append(job.repeatable.tried, choice.Sidecar)
	if choice.ExpectedTime > 0 {
		o.scheduleHedge(job, max(minHedgeDelay, hedgeDelayFactor*choice.ExpectedTime))
	}
}

func (o *Owner) scheduleHedge(job *runningJob, delay time.Duration) {
	job.repeatable.hedgeAt = o.now.Add(delay)
	o.deadlines.add(job.repeatable.hedgeAt, job.spec.Key)
}

// allowSidecarAgain lets a sidecar that did not start a repeatable request be chosen
// for it again.
func allowSidecarAgain(job *runningJob, sidecar string) {
	if job.repeatable == nil {
		return
	}
	if at := slices.Index(job.repeatable.tried, sidecar); at >= 0 {
		job.repeatable.tried = slices.Delete(job.repeatable.tried, at, at+1)
	}
}

// hedge sends a late request to a second sidecar if no work is queued and another
// sidecar has room, so that a hedge never delays a first dispatch. Otherwise it
// checks again after minHedgeDelay.
func (o *Owner) hedge(job *runningJob) {
	if job.repeatable == nil || job.repeatable.hedgeAt.IsZero() || o.now.Before(job.repeatable.hedgeAt) {
		return
	}
	job.repeatable.hedgeAt = time.Time{}
	choice, ok := o.pickHedgeTarget(job)
	if !ok {
		o.scheduleHedge(job, minHedgeDelay)
		return
	}
	if job.repeatable.state.Hedge(o.now) {
		o.send(job, 0, choice)
	}
}

func (o *Owner) pickHedgeTarget(job *runningJob) (routing.Choice, bool) {
	if o.queue.Waiting() > 0 || !o.admitting(o.now) {
		return routing.Choice{}, false
	}
	wanted := o.routingRequest(job, 0)
	wanted.Exclude = job.repeatable.tried
	choice, ok := o.router.Pick(wanted, o.now)
	_, known := o.targets[choice.Incarnation]
	return choice, ok && known
}

// recordRepeatStats adds the retries, hedges, refused repeats and wasted dispatches
// of a finished request to the metrics.
func (o *Owner) recordRepeatStats(job *runningJob) {
	if job.repeatable == nil {
		return
	}
	stats := job.repeatable.state.Stats()
	o.metrics.Retries.Inc(int64(stats.Retries))
	o.metrics.Hedges.Inc(int64(stats.Hedges))
	o.metrics.BudgetRefused.Inc(int64(stats.Refused))
	o.metrics.Wasted.Inc(int64(stats.Wasted))
}
