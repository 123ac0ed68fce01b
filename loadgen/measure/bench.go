package measure

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/figring/figring/loadgen/fleet"
	"github.com/figring/figring/loadgen/ideal"
	"github.com/figring/figring/loadgen/runner"
	"github.com/figring/figring/loadgen/trace"
	"github.com/figring/figring/minion"
	"github.com/figring/figring/model"
)

// bench runs the measures one after another.
type bench struct {
	options Options
}

// played is one run of a trace over a fleet, with all that was counted.
type played struct {
	settings fleet.Settings
	trace    trace.Trace
	result   *runner.Result
	before   *fleet.Snapshot
	after    *fleet.Snapshot
	ledger   []minion.Start
}

// during is called while a run is played; it may change the fleet.
type during func(ctx context.Context, running *fleet.Fleet, started time.Time) error

// startFleet starts a fleet in a directory of its own. stop stops it and removes the
// directory.
func startFleet(ctx context.Context, settings fleet.Settings) (running *fleet.Fleet, stop func(), err error) {
	settings.Dir, err = os.MkdirTemp("", "figring-measure")
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	running, err = fleet.Start(ctx, settings)
	stop = func() {
		running.Stop()
		_ = os.RemoveAll(settings.Dir)
	}
	if err != nil {
		stop()
		return nil, nil, err
	}
	return running, stop, nil
}

// play starts a fleet, plays the trace over it and stops it.
func (b *bench) play(ctx context.Context, label string, settings fleet.Settings, jobs trace.Trace, options runner.Options, beside during) (*played, error) {
	b.say("%s: %d jobs, %d tasks", label, len(jobs.Jobs), jobs.Tasks())
	running, stop, err := startFleet(ctx, settings)
	if err != nil {
		return nil, err
	}
	defer stop()
	return b.playOver(ctx, running, jobs, options, beside)
}

func (b *bench) playOver(ctx context.Context, running *fleet.Fleet, jobs trace.Trace, options runner.Options, beside during) (*played, error) {
	done := &played{settings: running.Settings, trace: jobs}
	var err error
	if done.before, err = running.Snapshot(ctx); err != nil {
		return nil, err
	}
	options.Targets = running.CallerURLs()
	options.Tokens = running.Settings.Tokens()
	options.ClientDelay = fleet.ClientDelay
	interfered := interfere(ctx, running, beside, &options)
	if done.result, err = runner.Run(ctx, jobs.Jobs, options); err != nil {
		return nil, err
	}
	if err := <-interfered; err != nil {
		return nil, err
	}
	if done.after, err = running.Snapshot(ctx); err != nil {
		return nil, err
	}
	done.ledger, err = running.Ledger(ctx)
	return done, err
}

// interfere calls beside once the run has started.
func interfere(ctx context.Context, running *fleet.Fleet, beside during, options *runner.Options) <-chan error {
	done := make(chan error, 1)
	if beside == nil {
		done <- nil
		return done
	}
	options.Progress = func(started time.Time) {
		go func() { done <- beside(ctx, running, started) }()
	}
	return done
}

func (b *bench) say(format string, args ...any) {
	fmt.Fprintf(b.options.Progress, time.Now().UTC().Format(time.TimeOnly)+" "+format+"\n", args...)
}

// desk returns the fleet of the desk with one caller for the shape.
func (b *bench) desk(callers ...string) fleet.Settings {
	settings := fleet.Desk(b.options.Binary, "")
	for _, name := range callers {
		settings.Callers = append(settings.Callers, model.Caller{Name: name})
	}
	return settings
}

// usual returns the usual trace of a shape for the fleet.
func (b *bench) usual(shape trace.Shape, settings fleet.Settings, load float64) trace.Trace {
	capacity := ideal.Capacity(settings.Capacity())
	return trace.Generate(trace.DefaultConfig(shape, b.options.Seed, b.options.Duration, capacity, load))
}
