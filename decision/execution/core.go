package execution

import (
	"time"

	"github.com/figring/figring/decision/interference"
	"github.com/figring/figring/decision/runtimes"
	"github.com/figring/figring/decision/workerhealth"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// Core is the state machine of one sidecar. It is not safe for concurrent use.
type Core struct {
	fence int64

	minion     session.Minion
	minionSeen bool
	leaving    bool
	// listedIncarnation is the minion incarnation that the newest listing came
	// from.
	listedIncarnation int64
	// incarnationFirstPoll is the first poll that the listed incarnation has
	// answered.
	incarnationFirstPoll uint64
	// listingRead is true once the minion has answered a poll under the fence of
	// this sidecar process, until a new incarnation is seen.
	listingRead bool
	// caughtUp is true once the minion has listed all ends that it had at the first
	// listing. Until then an end of an unknown run may be that of an earlier process.
	caughtUp bool
	// firstListedAt is when the first listing was read, for the first time or after
	// a new incarnation.
	firstListedAt time.Time
	polls         uint64
	// answeredAt is when the newest poll was answered.
	answeredAt time.Time
	// extraPollAt is when an additional poll was last requested while others were
	// in flight.
	extraPollAt time.Time
	// unansweredAt is when the newest unanswered call was given up, and failedPolls
	// the number of polls in a row without an answer.
	unansweredAt time.Time
	failedPolls  int
	// refusedSince is since when each poll has found no process of a minion; zero if the
	// newest one was answered or timed out.
	refusedSince time.Time
	// unresponsive is true while the minion does not answer polls.
	unresponsive bool

	draining  bool
	evacuated bool
	// reportsRunTimes means that the state for entries tells of run times and failures.
	reportsRunTimes bool

	runs    map[work.TaskKey]*run
	queue   []*run
	entries map[string]*entryState
	// usedNumbers are run numbers that the minion is known to refuse.
	usedNumbers map[work.TaskKey]usedNumber
	// newestEvent is the number of the newest event. Events to all entries share
	// one sequence, so that an entry that reconnects after it was forgotten never
	// gets the same number twice.
	newestEvent uint64
	health      *workerhealth.Tracker
	runTimes    *runtimes.Meter
	// interference is nil unless interference is measured.
	interference *interference.Meter

	// ends holds the listed ends that entries have not processed yet, by the
	// minion's sequence number.
	ends      map[uint64]pendingEnd
	newestEnd uint64
	// orphans holds ends and checkpoints that no entry is known to have stored and
	// that an entry may ask for.
	orphans keptEnds
	// confirmedEnds are ends that earlier processes of the sidecar have told an entry, which
	// has stored them. The minion may list them still.
	confirmedEnds map[session.TaskEnd]bool
	// uncertainEnds holds the minion's sequence numbers of ends whose tasks may
	// have run again elsewhere. They are acknowledged to the minion once the lease
	// has lapsed.
	uncertainEnds map[uint64]struct{}
	// storedJobsReported is true once an entry has said that there may be stored
	// jobs, noStoredJobsReported once one has said that there are none.
	storedJobsReported, noStoredJobsReported bool

	// newestReport is the newest report that claims to come from the minion.
	newestReport reportState

	// crashes are the latest crashes of the minion, poison the tasks that entries have
	// found to be poison. Both are numbered in one sequence.
	crashes    []crash
	poison     []poisonTask
	newestNews uint64
	// lapsed are the runs that lapsed since the newest listing. If the next listing
	// comes from another incarnation, the minion has crashed under them.
	lapsed    []session.CrashedRun
	isolation isolation

	actions       []Action
	logEvents     []LogEvent
	loggedSuspect bool
}

// pendingEnd links a listed end to the event that reports it.
type pendingEnd struct {
	entry string
	event uint64
	task  work.TaskKey
	end   work.End
	// attempt is the attempt at the task that ended.
	attempt int
	// epoch is that of the order of the run; session.UnknownEpoch if it is not known.
	epoch session.Epoch
	// checkpoint is the newest checkpoint of the task; empty for none.
	checkpoint work.Checkpoint
	// durable means that the end is kept when its entry is forgotten.
	durable bool
	// listedAt is as endedAt of orphan.
	listedAt time.Time
	// reportedTo are the entries that were told of the end when they asked for it in order
	// to take over the job.
	reportedTo []string
}

// taskEnd returns the end as entries name it.
func (p pendingEnd) taskEnd() session.TaskEnd {
	return session.TaskEnd{Task: p.task, End: p.end, Attempt: p.attempt, Epoch: p.epoch}
}

// New returns the core of a sidecar that has just started. The fence must be
// higher than those of the sidecar's earlier processes.
func New(fence int64) *Core {
	return &Core{
		fence:   fence,
		runs:    make(map[work.TaskKey]*run),
		entries: make(map[string]*entryState),
		ends:    make(map[uint64]pendingEnd),
		orphans: make(keptEnds),

		usedNumbers:   make(map[work.TaskKey]usedNumber),
		confirmedEnds: make(map[session.TaskEnd]bool),
		uncertainEnds: make(map[uint64]struct{}),
		health:        workerhealth.New(),
		runTimes:      runtimes.NewMeter(),
	}
}

// ReportRunTimes makes the state for entries tell of run times and failures.
func (c *Core) ReportRunTimes() { c.reportsRunTimes = true }

// RunTimes returns the measured run times by route, for State.RunTimes; nil unless they
// are reported.
func (c *Core) RunTimes(now time.Time) []session.RunTime {
	if !c.reportsRunTimes {
		return nil
	}
	return c.runTimes.Report(now)
}

// Fence returns the fence that calls to the minion must carry now.
func (c *Core) Fence() int64 { return c.fence }

// NextPoll returns the number of a poll of the minion that is about to be sent.
func (c *Core) NextPoll() uint64 {
	c.polls++
	return c.polls
}

// MayRenew reports whether a poll that is about to be sent may renew the lease.
// The lease is not renewed while the minion does not answer, so that its runs
// are certain to lapse; nor while no entry is in contact, so that an entry that
// cannot reach the sidecar knows that the lease has lapsed; nor while there are
// uncertain ends.
func (c *Core) MayRenew(now time.Time) bool {
	return !c.unresponsive && len(c.uncertainEnds) == 0 && (!c.listingRead || now.Sub(c.firstListedAt) <= SilenceLimit || c.anyEntryInContact(now))
}

// anyEntryInContact reports whether any entry was heard from within
// SilenceLimit.
func (c *Core) anyEntryInContact(now time.Time) bool {
	for _, state := range c.entries {
		if !state.silent && now.Sub(state.newestEcho) <= SilenceLimit {
			return true
		}
	}
	return false
}

// silent reports whether the entry was not heard from within SilenceLimit.
func (c *Core) silent(now time.Time, entry string) bool {
	state, ok := c.entries[entry]
	return !ok || state.silent || now.Sub(state.newestEcho) > SilenceLimit
}

// TakeActions returns the actions requested since the last call.
func (c *Core) TakeActions() []Action {
	taken := c.actions
	c.actions = nil
	return taken
}

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }

// SetEvacuated sets whether the sidecar's availability zone is evacuated.
func (c *Core) SetEvacuated(now time.Time, evacuated bool) {
	if c.evacuated == evacuated {
		return
	}
	c.evacuated = evacuated
	c.reschedule(now)
}

// Drain begins a planned stop: no further runs are started.
func (c *Core) Drain(now time.Time) {
	c.draining = true
	c.reschedule(now)
}

// Idle reports whether the core has no runs, queued ones included.
func (c *Core) Idle() bool {
	return len(c.runs) == 0
}

// refusal returns why the sidecar refuses every order now, or RefusedNone.
func (c *Core) refusal() session.Refusal {
	switch {
	case c.draining || c.leaving:
		return session.RefusedDraining
	case c.evacuated:
		return session.RefusedZone
	case !c.minionSeen || !c.listingRead || c.unresponsive || len(c.uncertainEnds) > 0:
		return session.RefusedNoMinion
	}
	return session.RefusedNone
}

// reschedule hands back queued runs that may no longer start, starts those that
// fit, and notifies every entry of the changed state.
func (c *Core) reschedule(now time.Time) {
	if reason := c.refusal(); reason != session.RefusedNone && reason != session.RefusedNoMinion {
		c.handBackQueue(now)
	}
	c.startQueued(now)
	for name := range c.entries {
		c.emit(NotifyEntry{Entry: name})
	}
}
