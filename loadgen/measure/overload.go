package measure

import (
	"context"
	"time"

	"github.com/figring/figring/loadgen/ideal"
	"github.com/figring/figring/loadgen/runner"
	"github.com/figring/figring/loadgen/trace"
)

const (
	overload = 2.0
	// overloadTimeout is short, so that refusals begin early in the run.
	overloadTimeout = 5 * time.Second
	// overloadWarmUp is left out: the queues fill in it.
	overloadWarmUp = 3 * time.Second
	// The goals.
	overloadWorkGoal    = 0.95
	overloadRefusalGoal = 50.0
)

// overload measures a run with twice the work that the slots can do.
func (b *bench) overload(ctx context.Context) ([]Row, error) {
	shape := trace.Nomination()
	settings := b.desk(shape.Caller)
	jobs := b.usual(shape, settings, overload)
	run, err := b.play(ctx, "overload", settings, jobs, runner.Options{Timeout: overloadTimeout}, nil)
	if err != nil {
		return nil, err
	}
	until := b.options.Duration
	possible := ideal.Capacity(settings.Capacity()) * (until - overloadWarmUp).Seconds()
	refusals := run.result.Refusals.Summary()
	rows := []Row{
		atLeast("useful work / capacity", run.useful(overloadWarmUp, until)/possible, overloadWorkGoal, ""),
		atMost("refusals answered within, p99", refusals.P99Ms, overloadRefusalGoal, "ms"),
		atMost("refusals answered within, all", refusals.MaxMs, overloadRefusalGoal, "ms"),
		atMost("refusals without Retry-After", float64(run.result.WithoutRetryAfter), 0, ""),
		info("all work done / capacity", run.done(overloadWarmUp, until)/possible, ""),
		info("refusals", float64(refusals.Count), ""),
		info("p99 response of complete jobs", run.result.All("").Summary().P99Ms, "ms"),
	}
	return append(rows, run.outcomes()...), b.picture("overload", run, nil)
}
