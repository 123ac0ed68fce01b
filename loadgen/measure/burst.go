package measure

import (
	"context"
	"fmt"

	"github.com/figring/figring/loadgen/ideal"
	"github.com/figring/figring/loadgen/runner"
	"github.com/figring/figring/loadgen/trace"
	"github.com/figring/figring/model"
)

const (
	burstTeams = 3
	// burstTeamLoad is each team's usual share of the slots.
	burstTeamLoad = 0.2
	// burstFactor is how many times its quota one team sends.
	burstFactor = 5
	// The goal.
	burstGoal = 1.2
)

// burst measures the other teams' response times with and without one team's
// burst. Each team's quota is its usual rate of tasks.
func (b *bench) burst(ctx context.Context) ([]Row, error) {
	calm, err := b.burstRun(ctx, "burst, without", 1)
	if err != nil {
		return nil, err
	}
	burst, err := b.burstRun(ctx, "burst, with", burstFactor)
	if err != nil {
		return nil, err
	}
	before, with := calm.others().Summary(), burst.others().Summary()
	rows := []Row{
		atMost("other teams' p99 with / without the burst", with.P99Ms/before.P99Ms, burstGoal, ""),
		info("other teams' mean with / without the burst", with.MeanMs/before.MeanMs, ""),
		info("other teams' p99 without", before.P99Ms, "ms"),
		info("other teams' p99 with", with.P99Ms, "ms"),
		info("other teams' complete jobs without", float64(before.Count), ""),
		info("other teams' complete jobs with", float64(with.Count), ""),
	}
	return append(rows, burst.outcomes()...), b.picture("burst", burst, nil)
}

func team(number int) string { return fmt.Sprintf("team-%d", number+1) }

func (b *bench) burstRun(ctx context.Context, label string, factor float64) (*played, error) {
	settings := b.desk()
	capacity := ideal.Capacity(settings.Capacity())
	var traces []trace.Trace
	for number := range burstTeams {
		shape := trace.Nomination()
		shape.Caller = team(number)
		load := burstTeamLoad
		if number == 0 {
			load *= factor
		}
		one := trace.Generate(trace.DefaultConfig(shape, b.options.Seed+uint64(number), b.options.Duration, capacity, load))
		traces = append(traces, one)
		rate := float64(one.Tasks()) / b.options.Duration.Seconds() * burstTeamLoad / load
		settings.Callers = append(settings.Callers, quotaOf(shape.Caller, rate))
	}
	return b.play(ctx, label, settings, trace.Merge(traces...), runner.Options{}, nil)
}

// quotaOf gives a team its usual rate. Only the first team sends more, so only
// it has a bound: the others' jobs are compared and must not be refused by
// chance.
func quotaOf(name string, rate float64) model.Caller {
	caller := model.Caller{Name: name}
	if name == team(0) {
		caller.TasksPerSecond = rate
	}
	return caller
}

// others returns the response times of all teams but the first.
func (p *played) others() *runner.Histogram {
	all := runner.NewHistogram()
	for number := 1; number < burstTeams; number++ {
		all.Merge(p.result.All(team(number)))
	}
	return all
}
