package measure

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/figring/figring/loadgen/fleet"
	"github.com/figring/figring/loadgen/runner"
	"github.com/figring/figring/loadgen/trace"
	"github.com/figring/figring/minion"
)

const (
	faultyLoad = 0.5
	// faultyWorker is the index of the worker that gets the fault.
	faultyWorker = 2
	// failingGrace is the time after which a failing worker must be known.
	failingGrace = time.Second
	// slowFactor is how much slower the slow worker becomes.
	slowFactor = 10
	// The goals.
	failingLossGoal = 0.01
	slowP99Goal     = 1.5
)

// faulty measures one worker that fails everything, and one that becomes ten
// times slower, each against a healthy run.
func (b *bench) faulty(ctx context.Context) ([]Row, error) {
	healthy, err := b.faultyRun(ctx, "faulty, none", nil)
	if err != nil {
		return nil, err
	}
	failing, err := b.faultyRun(ctx, "faulty, failing", failEverything)
	if err != nil {
		return nil, err
	}
	slow, err := b.faultyRun(ctx, "faulty, slow", slowDown)
	if err != nil {
		return nil, err
	}
	base, slowed := healthy.result.All("").Summary(), slow.result.All("").Summary()
	rows := append(failing.lossRows(b.options.Duration),
		atMost("slow worker: p99 response / healthy", slowed.P99Ms/base.P99Ms, slowP99Goal, ""),
		info("slow worker: mean response / healthy", slowed.MeanMs/base.MeanMs, ""),
		info("healthy p99 response", base.P99Ms, "ms"),
		info("slow worker: starts there per start", slow.shareAt(faultyWorker, 0, b.options.Duration), ""))
	for _, row := range failing.outcomes() {
		row.Name = "failing worker: " + row.Name
		rows = append(rows, row)
	}
	return rows, nil
}

func (b *bench) faultyRun(ctx context.Context, label string, beside during) (*played, error) {
	shape := trace.Nomination()
	settings := b.desk(shape.Caller)
	return b.play(ctx, label, settings, b.usual(shape, settings, faultyLoad), runner.Options{}, beside)
}

func failEverything(ctx context.Context, running *fleet.Fleet, _ time.Time) error {
	control := controlOf(running)
	control.FailEverything = true
	return running.SetControl(ctx, faultyWorker, control)
}

func slowDown(ctx context.Context, running *fleet.Fleet, _ time.Time) error {
	control := controlOf(running)
	control.Speed /= slowFactor
	return running.SetControl(ctx, faultyWorker, control)
}

func controlOf(running *fleet.Fleet) minion.Control {
	worker := running.Settings.Workers[faultyWorker]
	return minion.Control{Speed: worker.Speed, DelayMillis: float64(worker.Delay) / float64(time.Millisecond)}
}

func (p *played) lossRows(duration time.Duration) []Row {
	return []Row{
		atMost("failing worker: tasks lost to it after 1 s, per start", p.shareAt(faultyWorker, failingGrace, duration), failingLossGoal, ""),
		info("failing worker: tasks lost to it in the first second, per start", p.shareAt(faultyWorker, 0, failingGrace), ""),
		info("failing worker: tasks stopped at other workers for jobs that failed", float64(p.stoppedElsewhere()), ""),
	}
}

// stoppedElsewhere counts the tasks that ended early at the healthy workers.
func (p *played) stoppedElsewhere() int {
	return p.startsWithin(0, math.MaxInt64, func(start *minion.Start) bool {
		return start.Worker != workerName(faultyWorker) && start.Status == http.StatusConflict
	})
}

// shareAt returns the share of the starts within a window that were at one
// worker.
func (p *played) shareAt(worker int, from, until time.Duration) float64 {
	there := p.startsWithin(from, until, func(start *minion.Start) bool { return start.Worker == workerName(worker) })
	all := p.startsWithin(from, until, func(*minion.Start) bool { return true })
	return float64(there) / float64(max(1, all))
}

func workerName(index int) string { return fleet.WorkerName(index) }
