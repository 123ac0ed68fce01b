package dispatcher

import (
	"time"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/decision/runtimes"
)

// runTimeLogInterval is the time between two log lines and updates of the metric on the
// run times of one kind of minions.
const runTimeLogInterval = 5 * time.Second

// logRunTimes logs the ratios of measured to declared run time, at most once in
// runTimeLogInterval. It must be called from the loop.
func (d *Dispatcher) logRunTimes(now time.Time) {
	if !d.settings.RunTimeEstimates || now.Before(d.nextRunTimeLog) {
		return
	}
	d.nextRunTimeLog = now.Add(runTimeLogInterval)
	for _, ratio := range d.core.KindRatios() {
		d.logRunTime(&ratio)
	}
}

func (d *Dispatcher) logRunTime(ratio *runtimes.KindRatio) {
	d.meters.runTimeRatio(ratio.Kind, ratio.Route, ratio.Ratio)
	d.deps.Log.Routine(eventlog.KindRunTimes).Str(eventlog.FieldMinionKind, ratio.Kind).
		Str(eventlog.FieldRoute, ratio.Route).Float64(eventlog.FieldRatio, ratio.Ratio).
		Int(eventlog.FieldCount, int(ratio.Weight)).Msg("")
}
