package measure

import (
	"context"
	"time"

	"github.com/figring/figring/loadgen/fleet"
	"github.com/figring/figring/loadgen/runner"
	"github.com/figring/figring/loadgen/trace"
)

const (
	// idleTime is how long the idle fleet is watched.
	idleTime = 15 * time.Second
	// The goals: percent of a core, mebibytes, kilobytes a second.
	controlCPUGoal    = 3.5
	controlMemoryGoal = 64.0
	controlBytesGoal  = 14.0

	mebibyte = 1 << 20
	kilobyte = 1000
	percent  = 100
)

// control measures what figring's own processes use on each node, without
// work and at 70 % of the slots.
func (b *bench) control(ctx context.Context) ([]Row, error) {
	shape := trace.Nomination()
	settings := b.desk(shape.Caller)
	running, stop, err := startFleet(ctx, settings)
	if err != nil {
		return nil, err
	}
	defer stop()
	b.say("control, idle")
	before, err := running.Snapshot(ctx)
	if err != nil {
		return nil, err
	}
	time.Sleep(idleTime)
	after, err := running.Snapshot(ctx)
	if err != nil {
		return nil, err
	}
	rows := controlRows("idle", before, after)
	b.say("control, loaded")
	loaded, err := b.playOver(ctx, running, b.usual(shape, settings, responseLoad), runner.Options{}, nil)
	if err != nil {
		return rows, err
	}
	return append(rows, controlRows("loaded", loaded.before, loaded.after)...), nil
}

// controlRows judges the node with the highest use of each role. The bytes are
// those between entries and sidecars; under load they include the tasks.
func controlRows(label string, before, after *fleet.Snapshot) []Row {
	elapsed := after.At.Sub(before.At).Seconds()
	sidecar := highest(before.SidecarUsage, after.SidecarUsage, before.SidecarBytes, after.SidecarBytes, elapsed)
	entry := highest(before.EntryUsage, after.EntryUsage, before.EntryBytes, after.EntryBytes, elapsed)
	return append(sidecar.rows(label+", sidecar: "), entry.rows(label+", entry: ")...)
}

// use is what a node uses.
type use struct {
	core      float64
	mebibytes float64
	kilobytes float64
}

func highest(before, after []fleet.Usage, bytesBefore, bytesAfter []float64, elapsed float64) use {
	var most use
	for i := range after {
		most.core = max(most.core, percent*(after[i].Processor-before[i].Processor).Seconds()/elapsed)
		most.mebibytes = max(most.mebibytes, float64(after[i].Resident)/mebibyte)
		most.kilobytes = max(most.kilobytes, (bytesAfter[i]-bytesBefore[i])/elapsed/kilobyte)
	}
	return most
}

func (u use) rows(label string) []Row {
	return []Row{
		atMost(label+"processor, of a core", u.core, controlCPUGoal, "%"),
		atMost(label+"memory", u.mebibytes, controlMemoryGoal, "MB"),
		atMost(label+"traffic", u.kilobytes, controlBytesGoal, "KB/s"),
	}
}
