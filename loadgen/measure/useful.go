package measure

import (
	"time"

	"github.com/figring/figring/loadgen/ideal"
	"github.com/figring/figring/loadgen/plot"
	"github.com/figring/figring/minion"
)

// useful returns the work that was done within a window on tasks of complete
// jobs, in seconds at speed 1. Starts and ends come from the minions' ledgers.
func (p *played) useful(from, until time.Duration) float64 {
	complete := make(map[string]bool)
	for i := range p.result.Outcomes {
		outcome := &p.result.Outcomes[i]
		complete[outcome.Caller+"/"+outcome.Key] = outcome.Complete()
	}
	return p.work(from, until, func(start *minion.Start) bool { return complete[start.Job] })
}

// done returns the work that was done within a window on all tasks, in seconds
// at speed 1.
func (p *played) done(from, until time.Duration) float64 {
	return p.work(from, until, func(*minion.Start) bool { return true })
}

func (p *played) work(from, until time.Duration, wanted func(*minion.Start) bool) float64 {
	speeds := p.speeds()
	var sum float64
	for i := range p.ledger {
		start := &p.ledger[i]
		if start.EndNs > 0 && wanted(start) {
			span := p.span(start)
			sum += span.Overlap(from, until).Seconds() * speeds[start.Worker]
		}
	}
	return sum
}

func (p *played) speeds() map[string]float64 {
	speeds := make(map[string]float64)
	for i, worker := range p.settings.Workers {
		speeds[workerName(i)] = worker.Speed
	}
	return speeds
}

// idealWork returns the work that a schedule does within a window, in seconds
// at speed 1.
func idealWork(placed []ideal.Placement, workers []ideal.Worker, from, until time.Duration) float64 {
	var sum float64
	for _, one := range placed {
		span := plot.Interval{Start: one.Start, End: one.End}
		sum += span.Overlap(from, until).Seconds() * workers[one.Worker].Speed
	}
	return sum
}

// startsWithin returns the starts that a test takes within a window.
func (p *played) startsWithin(from, until time.Duration, wanted func(*minion.Start) bool) int {
	count := 0
	for i := range p.ledger {
		at := p.span(&p.ledger[i]).Start
		if at >= from && at < until && wanted(&p.ledger[i]) {
			count++
		}
	}
	return count
}
