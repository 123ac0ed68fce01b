package measure

import (
	"context"
	"time"

	"github.com/figring/figring/loadgen/fleet"
	"github.com/figring/figring/loadgen/ideal"
	"github.com/figring/figring/loadgen/runner"
	"github.com/figring/figring/loadgen/trace"
	"github.com/figring/figring/settings"
)

const (
	outageLoad = 0.6
	// The platform is out from outageAt for outageFor; jobs arrive until
	// outageRun.
	outageAt  = 10 * time.Second
	outageFor = 60 * time.Second
	outageRun = 90 * time.Second
	// outageBack is the time after the outage from which work should go on.
	outageBack = 5 * time.Second
)

// outage measures the work done while the platform is out for 60 s, for claims
// in groups and for the baseline of one row for each job.
func (b *bench) outage(ctx context.Context) ([]Row, error) {
	var rows []Row
	for _, mode := range []string{settings.ClaimsGrouped, settings.ClaimsByRow} {
		found, err := b.outageRun(ctx, mode)
		rows = append(rows, found...)
		if err != nil {
			return rows, err
		}
	}
	return rows, nil
}

func (b *bench) outageRun(ctx context.Context, mode string) ([]Row, error) {
	shape := trace.Nomination()
	desk := b.desk(shape.Caller)
	desk.ClaimMode = mode
	capacity := ideal.Capacity(desk.Capacity())
	jobs := trace.Generate(trace.DefaultConfig(shape, b.options.Seed, outageRun, capacity, outageLoad))
	run, err := b.play(ctx, "outage, claims "+mode, desk, jobs, runner.Options{Retry: true}, takePlatformOut)
	if err != nil {
		return nil, err
	}
	workers := desk.Capacity()
	placed := ideal.Place(jobs.Jobs, workers)
	share := func(from, until time.Duration) float64 {
		return run.useful(from, until) / idealWork(placed, workers, from, until)
	}
	end := outageAt + outageFor
	return []Row{
		info(mode+": work done before the outage / ideal", share(0, outageAt), ""),
		info(mode+": work done in the first 5 s of the outage / ideal", share(outageAt, outageAt+outageBack), ""),
		info(mode+": work done in the 60 s of the outage / ideal", share(outageAt, end), ""),
		info(mode+": work done from 5 s after the outage / ideal", share(end+outageBack, outageRun), ""),
		atMost(mode+": tasks started more than once", float64(run.startedTwice()), 0, ""),
	}, nil
}

// takePlatformOut switches the platform's stand-in off and on.
func takePlatformOut(ctx context.Context, running *fleet.Fleet, started time.Time) error {
	time.Sleep(time.Until(started.Add(outageAt)))
	if err := running.SetFaults(ctx, `{"outage":true}`); err != nil {
		return err
	}
	time.Sleep(time.Until(started.Add(outageAt + outageFor)))
	return running.SetFaults(ctx, `{}`)
}
