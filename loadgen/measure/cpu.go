package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/figring/figring/common/metrics"
	"github.com/figring/figring/loadgen/fleet"
	"github.com/figring/figring/loadgen/runner"
	"github.com/figring/figring/loadgen/trace"
)

const (
	cpuLoad = 0.7
	// cpuTasks is the job size that the goal is for.
	cpuTasks = 100
	// The goal, in microseconds.
	cpuGoal = 40.0
)

var (
	// cpuSizes are the job sizes of the slope by job size.
	cpuSizes = []int{25, 400}
	// cpuSidecars are the fleet sizes of the slope by sidecars.
	cpuSidecars = []int{5, 16}
)

// cpu measures the processor time that the entries use for a task.
func (b *bench) cpu(ctx context.Context) ([]Row, error) {
	settings := b.desk(trace.Hundred().Caller)
	hundred, err := b.cpuRun(ctx, settings, cpuTasks)
	if err != nil {
		return nil, err
	}
	rows := []Row{atMost("entry processor time per task, jobs of 100", hundred, cpuGoal, "us")}
	bySize := []point{{cpuTasks, hundred}}
	for _, size := range cpuSizes {
		found, err := b.cpuRun(ctx, settings, size)
		if err != nil {
			return rows, err
		}
		bySize = append(bySize, point{float64(size), found})
		rows = append(rows, info(fmt.Sprintf("entry processor time per task, jobs of %d", size), found, "us"))
	}
	bySidecars := []point{{float64(len(settings.Workers)), hundred}}
	for _, count := range cpuSidecars {
		found, err := b.cpuRun(ctx, resized(settings, count), cpuTasks)
		if err != nil {
			return rows, err
		}
		bySidecars = append(bySidecars, point{float64(count), found})
		rows = append(rows, info(fmt.Sprintf("entry processor time per task, %d sidecars", count), found, "us"))
	}
	return append(rows,
		info("slope by job size, for each task of a job", slope(bySize), "us"),
		info("slope by sidecars, for each sidecar", slope(bySidecars), "us")), nil
}

// resized returns the settings with another number of workers.
func resized(settings fleet.Settings, count int) fleet.Settings {
	var workers []fleet.Worker
	for i := range count {
		workers = append(workers, settings.Workers[i%len(settings.Workers)])
	}
	settings.Workers = workers
	return settings
}

// cpuRun returns the entries' processor time per task in microseconds.
func (b *bench) cpuRun(ctx context.Context, settings fleet.Settings, size int) (float64, error) {
	jobs := b.usual(trace.Sized(size), settings, cpuLoad)
	label := fmt.Sprintf("cpu, jobs of %d, %d sidecars", size, len(settings.Workers))
	run, err := b.play(ctx, label, settings, jobs, runner.Options{}, nil)
	if err != nil {
		return 0, err
	}
	var spent time.Duration
	for i := range run.after.EntryUsage {
		spent += run.after.EntryUsage[i].Processor - run.before.EntryUsage[i].Processor
	}
	starts := run.after.Sidecars.Since(run.before.Sidecars).Sum(fleet.MetricName(metrics.SidecarStarts))
	return float64(spent.Microseconds()) / starts, nil
}
