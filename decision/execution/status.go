package execution

import (
	"time"

	"github.com/figring/figring/work"
)

// LogEvent is a decision or a change of state that the executor logs.
type LogEvent struct {
	Kind     LogEventKind
	Task     work.TaskKey
	Entry    string
	Route    string
	End      work.End
	Took     time.Duration
	Estimate time.Duration
	// Waited is the time from the order to the sending of the start, Answered the
	// time from there to the minion's answer.
	Waited   time.Duration
	Answered time.Duration
	// Runs is the number of runs in progress at a crash of the minion, Youngest the
	// time since the newest of them was sent to the minion.
	Runs     int
	Youngest time.Duration
}

// LogEventKind is the kind of a LogEvent.
type LogEventKind int

const (
	// LogRunEnded means that a run has ended.
	LogRunEnded LogEventKind = iota + 1
	// LogEntrySilent means that an entry was not heard from and its runs are
	// stopped.
	LogEntrySilent
	// LogMinionSuspect means that the minion became suspect and gets only trial
	// tasks.
	LogMinionSuspect
	// LogMinionTrusted means that the minion is no longer suspect.
	LogMinionTrusted
	// LogMinionUnresponsive means that the minion does not answer.
	LogMinionUnresponsive
	// LogEndUncertain means that a task that ended may have run again elsewhere.
	// The end is acknowledged to the minion once the lease has lapsed.
	LogEndUncertain
	// LogMinionCrashed means that the minion ended without notice while runs were in
	// progress.
	LogMinionCrashed
	// LogReportWithdrawn means that a report named another incarnation of the minion
	// than the one that answers polls: it came from another writer.
	LogReportWithdrawn
)

func (c *Core) logEvent(note LogEvent) { c.logEvents = append(c.logEvents, note) }

// LogEvents returns the log events since the last call.
func (c *Core) LogEvents() []LogEvent {
	c.logHealthChange()
	events := c.logEvents
	c.logEvents = nil
	return events
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

// CPUFreeAndQueued returns the free CPU and the CPU need of the queued runs,
// both in thousandths of a core.
func (c *Core) CPUFreeAndQueued() (free, queued int64) {
	return c.free().MilliCPU, c.queuedNeed().MilliCPU
}

// EntryContactAges returns the age of each entry's newest echo.
func (c *Core) EntryContactAges(now time.Time) map[string]time.Duration {
	contacts := make(map[string]time.Duration, len(c.entries))
	for name, state := range c.entries {
		contacts[name] = now.Sub(state.newestEcho)
	}
	return contacts
}

// NewestEnd returns the sequence number of the newest end that the minion has
// listed.
func (c *Core) NewestEnd() uint64 { return c.newestEnd }

// AllAcknowledged reports whether the connected entries have received all
// events.
func (c *Core) AllAcknowledged() bool {
	for _, state := range c.entries {
		if len(state.events) > 0 {
			return false
		}
	}
	return true
}

// Phases counts runs by phase. Unclaimed runs also count under their phase.
type Phases struct {
	Queued, Starting, Unconfirmed, Running, Stopping, Unclaimed int
}

// Phases counts the runs of the core by phase.
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

// Pace returns the mean run time on the minion as a multiple of the caller's
// estimate.
func (c *Core) Pace(now time.Time) float64 { return c.health.Pace(now) }
