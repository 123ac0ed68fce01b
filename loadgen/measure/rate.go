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

// rateLoads are the shares of the slots at which rate is measured. Tasks run
// for 10 to 20 ms, so that the highest is some thousands of starts a second.
var rateLoads = []float64{0.05, 0.2, 0.4}

const (
	rateMinRun = 10 * time.Millisecond
	rateMaxRun = 20 * time.Millisecond
	// rateTasks is the job size.
	rateTasks = 100
)

// rate measures how what the roles use grows with the starts a second. The
// slope is the cost of a task, the rest is the cost of being there.
func (b *bench) rate(ctx context.Context) ([]Row, error) {
	shape := trace.Sized(rateTasks)
	shape.MinRun, shape.MaxRun = rateMinRun, rateMaxRun
	settings := b.desk(shape.Caller)
	lines := make(map[string][]point)
	var rows []Row
	for _, load := range rateLoads {
		run, err := b.play(ctx, fmt.Sprintf("rate, load %.2f", load), settings, b.usual(shape, settings, load), runner.Options{}, nil)
		if err != nil {
			return rows, err
		}
		found := run.rates()
		rows = append(rows, info(fmt.Sprintf("starts a second at load %.2f", load), found.starts, "/s"))
		found.enter(lines)
	}
	for _, name := range rateNames {
		line := lines[name]
		each := slope(line)
		rows = append(rows,
			info(name+", for each start", each, ""),
			info(name+", without work", line[0].y-each*line[0].x, ""))
	}
	return rows, nil
}

// The names of what rate measures, each summed up over the processes of a role.
const (
	rateEntryTime     = "entries' processor time, us/s"
	rateEntryBytes    = "entries' traffic, bytes/s"
	rateEntryMemory   = "entries' memory, bytes"
	rateSidecarTime   = "sidecars' processor time, us/s"
	rateSidecarBytes  = "sidecars' traffic, bytes/s"
	rateSidecarMemory = "sidecars' memory, bytes"
	rateWrites        = "table and object writes, 1/s"
	rateReads         = "table and object reads, 1/s"
)

var rateNames = []string{rateEntryTime, rateEntryBytes, rateEntryMemory, rateSidecarTime, rateSidecarBytes, rateSidecarMemory, rateWrites, rateReads}

// rateFigures are the figures of one run.
type rateFigures struct {
	starts float64
	by     map[string]float64
}

func (p *played) rates() rateFigures {
	seconds := p.after.At.Sub(p.before.At).Seconds()
	starts := p.after.Sidecars.Since(p.before.Sidecars).Sum(fleet.MetricName(metrics.SidecarStarts))
	return rateFigures{
		starts: starts / seconds,
		by: map[string]float64{
			rateEntryTime:     spent(p.before.EntryUsage, p.after.EntryUsage) / seconds,
			rateEntryBytes:    grown(p.before.EntryBytes, p.after.EntryBytes) / seconds,
			rateEntryMemory:   resident(p.after.EntryUsage),
			rateSidecarTime:   spent(p.before.SidecarUsage, p.after.SidecarUsage) / seconds,
			rateSidecarBytes:  grown(p.before.SidecarBytes, p.after.SidecarBytes) / seconds,
			rateSidecarMemory: resident(p.after.SidecarUsage),
			rateWrites:        (p.after.Platform.Writes - p.before.Platform.Writes) / seconds,
			rateReads:         (p.after.Platform.Reads - p.before.Platform.Reads) / seconds,
		},
	}
}

func (r rateFigures) enter(lines map[string][]point) {
	for name, value := range r.by {
		lines[name] = append(lines[name], point{r.starts, value})
	}
}

// spent returns the processor time of all processes in microseconds.
func spent(before, after []fleet.Usage) float64 {
	var sum time.Duration
	for i := range after {
		sum += after[i].Processor - before[i].Processor
	}
	return float64(sum.Microseconds())
}

func grown(before, after []float64) float64 {
	var sum float64
	for i := range after {
		sum += after[i] - before[i]
	}
	return sum
}

func resident(usages []fleet.Usage) float64 {
	var sum int64
	for _, one := range usages {
		sum += one.Resident
	}
	return float64(sum)
}
