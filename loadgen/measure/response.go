package measure

import (
	"context"

	"github.com/figring/figring/loadgen/runner"
	"github.com/figring/figring/loadgen/trace"
	"github.com/figring/figring/settings"
)

const (
	responseLoad     = 0.7
	responseMeanGoal = 1.15
	responseP99Goal  = 1.3
)

// response measures response times against the ideal at 70 % of the slots, for
// the product's routing and every baseline, and the waste of the product's own
// run.
func (b *bench) response(ctx context.Context) ([]Row, error) {
	shape := trace.Nomination()
	own, err := b.responseOf(ctx, shape, settings.RoutingExpected)
	if err != nil {
		return nil, err
	}
	mine := own.compare()
	rows := []Row{
		atMost("mean response / ideal", mine.Mean, responseMeanGoal, ""),
		atMost("p99 response / ideal", mine.P99, responseP99Goal, ""),
	}
	rows = append(rows, details(settings.RoutingExpected, mine)...)
	rows = append(rows, own.outcomes()...)
	rows = append(rows, own.waste()...)
	for _, baseline := range []string{settings.RoutingRandom, settings.RoutingRoundRobin, settings.RoutingLeastOutstanding} {
		run, err := b.responseOf(ctx, shape, baseline)
		if err != nil {
			return rows, err
		}
		theirs := run.compare()
		rows = append(rows,
			judged("mean of own routing / mean of "+baseline, "< 1", mine.MeasuredMs/theirs.MeasuredMs, "", mine.MeasuredMs < theirs.MeasuredMs),
			judged("p99 of own routing / p99 of "+baseline, "< 1", mine.P99/theirs.P99, "", mine.P99 < theirs.P99))
		rows = append(rows, details(baseline, theirs)...)
	}
	return rows, b.picture("response", own, nil)
}

func (b *bench) responseOf(ctx context.Context, shape trace.Shape, routing string) (*played, error) {
	fleetSettings := b.desk(shape.Caller)
	fleetSettings.Routing = routing
	return b.play(ctx, "response, "+routing, fleetSettings, b.usual(shape, fleetSettings, responseLoad), runner.Options{}, nil)
}

func details(label string, found ratios) []Row {
	return []Row{
		info(label+": mean / ideal", found.Mean, ""),
		info(label+": p99 / ideal", found.P99, ""),
		info(label+": mean of jobs' ratios", found.JobMean, ""),
		info(label+": median of jobs' ratios", found.JobP50, ""),
		info(label+": p99 of jobs' ratios", found.JobP99, ""),
		info(label+": mean response", found.MeasuredMs, "ms"),
		info(label+": mean of the ideal", found.IdealMs, "ms"),
		info(label+": compared jobs", float64(found.Jobs), ""),
	}
}
