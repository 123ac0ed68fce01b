package execution

import (
	"time"

	"github.com/figring/figring/decision/interference"
	"github.com/figring/figring/session"
)

// MeasureInterference makes the core measure how kinds of tasks slow each other down.
func (c *Core) MeasureInterference() { c.interference = new(interference.Meter) }

// Interference returns the evidence for State.Interference; nil unless interference is
// measured.
func (c *Core) Interference(now time.Time) *session.Interference {
	if c.interference == nil {
		return nil
	}
	return c.interference.Report(now)
}

// InterferenceChanges returns a number that grows when Interference changes; 0 unless
// interference is measured.
func (c *Core) InterferenceChanges(now time.Time) uint64 {
	if c.interference == nil {
		return 0
	}
	return c.interference.Changes(now)
}

// startPresence records that the run begins to be in progress.
func (c *Core) startPresence(now time.Time, run *run) {
	c.endPresence(run)
	if c.interference != nil {
		run.presence = c.interference.Start(now, run.kind, run.need.MilliCPU)
	}
}

// recordPresence records the run time of a run that is done.
func (c *Core) recordPresence(now time.Time, run *run) {
	if run.presence != nil {
		c.interference.Record(now, run.presence, run.estimate, c.health.Pace(now))
	}
}

// endPresence records that the run is no longer in progress.
func (c *Core) endPresence(run *run) {
	if run.presence != nil {
		c.interference.End(run.presence)
		run.presence = nil
	}
}
