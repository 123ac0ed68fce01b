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
	// hedgeRuns is the number of expected times to completion after which an
	// unanswered request is sent to a second worker.
	hedgeRuns = 3
	// minHedgeDelay is the least time before that.
	minHedgeDelay = 100 * time.Millisecond
	// maxRequestRuns bounds the dispatches of one request that may have run.
	maxRequestRuns = 4
)

// repeatable is what the owner keeps of an idempotent request without a key.
type repeatable struct {
	state *request.Request
	// tried names the sidecars that have the request or ended it badly.
	tried []string
	// hedgeAt is when a second dispatch is due; zero for none.
	hedgeAt time.Time
}

// isRepeatable reports whether work may be run more than once. With a key it
// may not: a resubmission is told the fate of the one run.
func isRepeatable(e submitEvent) bool {
	return e.keyless && e.spec.Idempotent && len(e.spec.Tasks) == 1
}

// makeRepeatable lets a new job be repeated within its caller's budget.
func (o *Owner) makeRepeatable(job *runningJob) {
	budget := o.budget(job.spec.Key.Caller)
	budget.RecordRequest(o.now)
	state := request.New(request.Config{
		Key:         job.spec.Key,
		Deadline:    job.state.Deadline(),
		MaxAttempts: maxAttempts,
		MaxRuns:     maxRequestRuns,
		Budget:      budget,
	})
	job.repeat = &repeatable{state: state}
	job.state = state
}

// budget returns the retry budget of a caller.
func (o *Owner) budget(caller string) *retry.Budget {
	known := o.budgets[caller]
	if known == nil {
		known = retry.New(retry.Config{})
		o.budgets[caller] = known
	}
	return known
}

// dropBudgets forgets the budgets of callers that the bundle no longer names.
func (o *Owner) dropBudgets(bundle model.Bundle) {
	for name := range o.budgets {
		named := func(caller model.Caller) bool { return caller.Name == name }
		if !slices.ContainsFunc(bundle.Callers, named) {
			delete(o.budgets, name)
		}
	}
}

// pick chooses a target. A request that is repeated goes to a sidecar that has
// not tried it, if one has room, and else to any.
func (o *Owner) pick(job *runningJob, index int) (routing.Choice, bool) {
	wanted := o.routingRequest(job, index)
	if job.repeat == nil || len(job.repeat.tried) == 0 {
		return o.router.Pick(wanted, o.now)
	}
	wanted.Exclude = job.repeat.tried
	if choice, ok := o.router.Pick(wanted, o.now); ok {
		return choice, true
	}
	wanted.Exclude = nil
	return o.router.Pick(wanted, o.now)
}

// sentRepeatable notes a dispatch, and when a second one beside it is due.
func (o *Owner) sentRepeatable(job *runningJob, choice routing.Choice) {
	job.repeat.tried = append(job.repeat.tried, choice.Sidecar)
	if choice.Expected > 0 {
		o.armHedge(job, max(minHedgeDelay, hedgeRuns*choice.Expected))
	}
}

func (o *Owner) armHedge(job *runningJob, delay time.Duration) {
	job.repeat.hedgeAt = o.now.Add(delay)
	o.deadlines.add(job.repeat.hedgeAt, job.spec.Key)
}

// handedBackRepeatable lets a sidecar that did not start the request be chosen
// again.
func handedBackRepeatable(job *runningJob, sidecar string) {
	if job.repeat == nil {
		return
	}
	if at := slices.Index(job.repeat.tried, sidecar); at >= 0 {
		job.repeat.tried = slices.Delete(job.repeat.tried, at, at+1)
	}
}

// hedge sends a request that is late to a second sidecar. It does so only when
// no work waits and another sidecar has room: a hedge never delays a first
// dispatch. Otherwise it looks again later.
func (o *Owner) hedge(job *runningJob) {
	if job.repeat == nil || job.repeat.hedgeAt.IsZero() || o.now.Before(job.repeat.hedgeAt) {
		return
	}
	job.repeat.hedgeAt = time.Time{}
	choice, ok := o.hedgeTarget(job)
	if !ok {
		o.armHedge(job, minHedgeDelay)
		return
	}
	if job.repeat.state.Hedge(o.now) {
		o.send(job, 0, choice)
	}
}

func (o *Owner) hedgeTarget(job *runningJob) (routing.Choice, bool) {
	if o.queue.Waiting() > 0 || !o.admitting(o.now) {
		return routing.Choice{}, false
	}
	wanted := o.routingRequest(job, 0)
	wanted.Exclude = job.repeat.tried
	choice, ok := o.router.Pick(wanted, o.now)
	_, known := o.targets[choice.Incarnation]
	return choice, ok && known
}

// noteRepeats counts what a finished request cost beyond its first run.
func (o *Owner) noteRepeats(job *runningJob) {
	if job.repeat == nil {
		return
	}
	stats := job.repeat.state.Stats()
	o.metrics.Retries.Inc(int64(stats.Retries))
	o.metrics.Hedges.Inc(int64(stats.Hedges))
	o.metrics.BudgetRefused.Inc(int64(stats.Refused))
	o.metrics.Wasted.Inc(int64(stats.Wasted))
}
