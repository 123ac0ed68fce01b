package executor

import (
	"time"

	"github.com/figring/figring/common/eventlog"
	"github.com/figring/figring/session"
)

// Report is a minion's periodic report about itself.
type Report struct {
	Minion      session.Minion
	Sequence    uint64
	Leaving     bool
	ClockMillis int64
}

// HandleReport processes a report and returns whether to acknowledge it. A report
// of an earlier incarnation is ignored and not acknowledged, and so is one that
// arrives after a newer report.
func (e *Executor) HandleReport(report Report) bool {
	fresh := false
	e.loop.Do(func(now time.Time) {
		fresh = e.core.AcceptReport(now, report.Minion.Born, report.Sequence, report.Leaving)
		if !fresh {
			return
		}
		e.core.Heartbeat(now, report.Minion, report.Leaving)
		e.setMinionID(report.Minion.ID)
	})
	if fresh {
		e.meters.reports.Inc(1)
		e.logMinionChange(report)
	}
	return fresh
}

func (e *Executor) logMinionChange(report Report) {
	e.mu.Lock()
	changed := e.lastReport.Minion.Born != report.Minion.Born || e.lastReport.Leaving != report.Leaving
	e.lastReport = report
	e.mu.Unlock()
	if changed {
		e.deps.Log.Failure(eventlog.KindMinion).Str(eventlog.FieldMinion, report.Minion.ID).
			Bool("leaving", report.Leaving).Int64(eventlog.FieldFreeMilliCPU, report.Minion.Capacity.MilliCPU).Msg("")
	}
}

// Deregister records that the minion has ended. It always returns true: an
// unknown minion counts as ended, so its call is acknowledged too.
func (e *Executor) Deregister(id string) bool {
	e.loop.Do(func(now time.Time) {
		if e.minionID() == id {
			e.core.Deregister(now)
		}
	})
	e.deps.Log.Failure(eventlog.KindMinion).Str(eventlog.FieldMinion, id).Str(eventlog.FieldOutcome, "deregistered").Msg("")
	return true
}
