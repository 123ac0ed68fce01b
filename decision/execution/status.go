package execution

import (
	"time"

	"github.com/figring/figring/work"
)

// LogEvent is something that the core has decided or come to believe, for the log.
type LogEvent struct {
	Kind     LogEventKind
	Task     work.TaskKey
	Entry    string
	End      work.End
	Took     time.Duration
	Estimate time.Duration
	// Waited is the time from the order to the start, Answered the time until
	// the minion answered the start.
	Waited   time.Duration
	Answered time.Duration
}

// LogEventKind says what a note is about.
type LogEventKind int

const (
	// LogRunEnded is the end of a run.
	LogRunEnded LogEventKind = iota + 1
	// LogEntrySilent is an entry that was not heard from; its runs are stopped.
	LogEntrySilent
	// LogMinionSuspect is a minion that gets no more than trials.
	LogMinionSuspect
	// LogMinionTrusted is a minion that was suspect and is not any more.
	LogMinionTrusted
	// LogMinionUnresponsive is a minion that does not answer.
	LogMinionUnresponsive
	// LogEndUncertain is an end of a task that may have run again elsewhere: the
	// lease has to lapse before it is taken note of.
	LogEndUncertain
)

func (c *Core) logEvent(note LogEvent) { c.logEvents = append(c.logEvents, note) }

// LogEvents returns the notes since the last call.
func (c *Core) LogEvents() []LogEvent {
	c.logHealthChange()
	taken := c.logEvents
	c.logEvents = nil
	return taken
}

func (c *Core) logHealthChange() {
	suspect := c.health.Suspect()
	if suspect == c.loggedSuspect {
		return
	}
	c.loggedSuspect = suspect
	kind := LogMinionTrusted
	if suspect {
		kind = LogMinionSuspect
	}
	c.logEvent(LogEvent{Kind: kind})
}

// CPUFreeAndQueued returns what is free and what waits for room, in thousandths of a core.
func (c *Core) CPUFreeAndQueued() (free, queued int64) {
	return c.free().MilliCPU, c.queuedNeed().MilliCPU
}

// EntryContactAges returns how long ago each entry was heard of.
func (c *Core) EntryContactAges(now time.Time) map[string]time.Duration {
	contacts := make(map[string]time.Duration, len(c.entries))
	for name, known := range c.entries {
		contacts[name] = now.Sub(known.newestEcho)
	}
	return contacts
}

// NewestEnd returns the number of the newest end that the minion has listed.
func (c *Core) NewestEnd() uint64 { return c.newestEnd }

// AcceptReport reports whether a report of the minion about itself is newer
// than all that were taken, and takes note of its number.
func (c *Core) AcceptReport(born int64, sequence uint64) bool {
	if born < c.reportBorn || (born == c.reportBorn && sequence <= c.reportSequence) {
		return false
	}
	c.reportBorn = born
	c.reportSequence = sequence
	return true
}

// AllAcknowledged reports whether the connected entries have taken note of all events.
func (c *Core) AllAcknowledged() bool {
	for _, known := range c.entries {
		if len(known.events) > 0 {
			return false
		}
	}
	return true
}

// Phases counts the runs by how far they have come.
type Phases struct {
	Queued, Starting, Unconfirmed, Running, Stopping, Unclaimed int
}

// Phases returns the counts of the runs that the core keeps.
func (c *Core) Phases() Phases {
	var counts Phases
	for _, run := range c.runs {
		if !run.needKnown {
			counts.Unclaimed++
		}
		switch run.phase {
		case queued:
			counts.Queued++
		case starting:
			counts.Starting++
		case unconfirmed:
			counts.Unconfirmed++
		case running:
			counts.Running++
		case stopping:
			counts.Stopping++
		}
	}
	return counts
}

// Pace returns the mean run time on the minion as a multiple of the estimate.
func (c *Core) Pace(now time.Time) float64 { return c.health.Pace(now) }
