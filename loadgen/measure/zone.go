package measure

import (
	"context"
	"time"

	"github.com/figring/figring/loadgen/fleet"
	"github.com/figring/figring/loadgen/ideal"
	"github.com/figring/figring/loadgen/plot"
	"github.com/figring/figring/loadgen/runner"
	"github.com/figring/figring/loadgen/trace"
	"github.com/figring/figring/minion"
)

const (
	zoneLoad = 0.6
	// The times of the zone measure: the zone is taken out at zoneOutAt and
	// comes back zoneOutFor later; jobs arrive until zoneRun.
	zoneOutAt  = 10 * time.Second
	zoneOutFor = 20 * time.Second
	zoneRun    = 50 * time.Second
	// The goals.
	zoneWorkGoal    = 0.95
	zoneStartLimit  = 3 * time.Second
	zoneReturnLimit = 5 * time.Second
	// closedZone is the zone that is taken out.
	closedZone = "maxvorstadt"
)

// zoneTimes are the times at which the changes were asked for, from the start
// of the run.
type zoneTimes struct {
	closed time.Duration
	opened time.Duration
}

// zone measures a run in which a zone is out for 20 s.
func (b *bench) zone(ctx context.Context) ([]Row, error) {
	shape := trace.Subscription()
	settings := b.desk(shape.Caller)
	capacity := ideal.Capacity(settings.Capacity())
	jobs := trace.Generate(trace.DefaultConfig(shape, b.options.Seed, zoneRun, capacity, zoneLoad))
	var times zoneTimes
	run, err := b.play(ctx, "zone", settings, jobs, runner.Options{Retry: true}, times.change)
	if err != nil {
		return nil, err
	}
	rows := append(run.zoneRows(times), run.outcomes()...)
	return rows, b.picture("zone", run, []plot.Mark{
		{At: times.closed, Text: "zone out"},
		{At: times.opened, Text: "zone back"},
	})
}

// change takes the zone out and back.
func (z *zoneTimes) change(ctx context.Context, running *fleet.Fleet, started time.Time) error {
	time.Sleep(time.Until(started.Add(zoneOutAt)))
	closed, err := running.CloseZone(ctx, closedZone)
	if err != nil {
		return err
	}
	z.closed = closed.Sub(started)
	time.Sleep(time.Until(closed.Add(zoneOutFor)))
	opened, err := running.OpenZone(ctx, closedZone)
	z.opened = opened.Sub(started)
	return err
}

func (p *played) zoneRows(times zoneTimes) []Row {
	workers := p.settings.Capacity()
	for i, worker := range p.settings.Workers {
		if worker.Zone == closedZone {
			workers[i].OutFrom, workers[i].OutUntil = times.closed, times.opened
		}
	}
	placed := ideal.Place(p.trace.Jobs, workers)
	share := func(from, until time.Duration) float64 {
		return p.useful(from, until) / idealWork(placed, workers, from, until)
	}
	inZone := func(start *minion.Start) bool { return start.Zone == closedZone }
	late := p.startsWithin(times.closed+zoneStartLimit, times.opened, inZone)
	back := times.opened + zoneReturnLimit
	return []Row{
		atLeast("work done while the zone was out / ideal of the remaining slots", share(times.closed, times.opened), zoneWorkGoal, ""),
		atMost("starts in the zone later than 3 s after the request to close", float64(late), 0, ""),
		info("last start in the zone after that request", p.lastStart(times.closed, times.opened, inZone).Seconds(), "s"),
		atLeast("work done from 5 s after the return / ideal", share(back, zoneRun), zoneWorkGoal, ""),
		info("first start in the zone after the request to open", p.firstStart(times.opened, inZone).Seconds(), "s"),
		info("work done before / ideal", share(0, times.closed), ""),
		info("work done in the first 5 s after the return / ideal", share(times.opened, back), ""),
	}
}

// lastStart returns the time from a moment to the last wanted start before
// another moment, zero when there was none.
func (p *played) lastStart(from, until time.Duration, wanted func(*minion.Start) bool) time.Duration {
	var last time.Duration
	for i := range p.ledger {
		at := p.span(&p.ledger[i]).Start
		if at >= from && at < until && wanted(&p.ledger[i]) {
			last = max(last, at-from)
		}
	}
	return last
}

// firstStart returns the time from a moment to the first wanted start after
// it, or a negative one when there was none.
func (p *played) firstStart(from time.Duration, wanted func(*minion.Start) bool) time.Duration {
	first := time.Duration(-1)
	for i := range p.ledger {
		at := p.span(&p.ledger[i]).Start
		if at >= from && wanted(&p.ledger[i]) && (first < 0 || at-from < first) {
			first = at - from
		}
	}
	return first
}
