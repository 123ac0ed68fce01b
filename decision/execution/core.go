package execution

import (
	"time"

	"github.com/figring/figring/decision/workerhealth"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// Core is the state of one sidecar. It is not safe for concurrent use.
type Core struct {
	fence int64

	minion     session.Minion
	minionSeen bool
	leaving    bool
	// listedIncarnation is the incarnation that the newest listing came from.
	listedIncarnation int64
	// incarnationFirstPoll is the first look that this incarnation has answered.
	incarnationFirstPoll uint64
	// listingRead is true once a listing under this life's fence was read.
	listingRead bool
	// firstListedAt is when that was.
	firstListedAt time.Time
	polls         uint64
	// answeredAt is when the newest look was answered.
	answeredAt time.Time
	// extraPollAt is when a look was asked for beside those under way.
	extraPollAt time.Time
	// unansweredAt is when the newest order without an answer was given up, and
	// lostLooks the number of looks in a row without one.
	unansweredAt    time.Time
	failedPolls int
	// unresponsive is true while looks are not answered.
	unresponsive bool

	draining  bool
	evacuated bool

	runs    map[work.TaskKey]*run
	queue   []*run
	entries map[string]*entryState
	// newestEvent numbers the events to all entries: an entry that comes back
	// after it was forgotten hears of no number twice.
	newestEvent uint64
	health      *workerhealth.Tracker

	// ends holds the listed ends that entries have not taken note of, by the
	// minion's sequence number.
	ends      map[uint64]pendingEnd
	newestEnd uint64
	// orphans are ends that no entry was told of and that one may ask for.
	orphans map[work.TaskKey]orphan
	// uncertainEnds are ends, by the minion's number, whose tasks may have run again
	// since. They are taken note of once the lease has lapsed.
	uncertainEnds map[uint64]struct{}
	// storedJobsReported is true once an entry has told that there may be stored jobs,
	// noStoredJobsReported once one has told that there are none.
	storedJobsReported, noStoredJobsReported bool

	// reportBorn and reportSequence are those of the newest report of the
	// minion about itself.
	reportBorn     int64
	reportSequence uint64

	actions    []Action
	logEvents      []LogEvent
	loggedSuspect bool
}

// pendingEnd ties a listed end to the event that reports it.
type pendingEnd struct {
	entry string
	event uint64
	task  work.TaskKey
	end   work.End
	// checkpoint is the newest of the task; empty for none.
	checkpoint work.Checkpoint
	// durable means that the end is not forgotten with its entry.
	durable bool
	// listedAt is when the end was listed.
	listedAt time.Time
}

// New returns the core of a sidecar that has just started. The fence must be
// higher than those of the sidecar's former lives.
func New(fence int64) *Core {
	return &Core{
		fence:   fence,
		runs:    make(map[work.TaskKey]*run),
		entries: make(map[string]*entryState),
		ends:    make(map[uint64]pendingEnd),
		orphans: make(map[work.TaskKey]orphan),

		uncertainEnds: make(map[uint64]struct{}),
		health:   workerhealth.New(),
	}
}

// Fence returns the fence that calls to the minion have to carry now.
func (c *Core) Fence() int64 { return c.fence }

// NextPoll numbers a look at the minion that is about to be sent.
func (c *Core) NextPoll() uint64 {
	c.polls++
	return c.polls
}

// MayRenew says whether a look that is about to be sent may renew the lease. A
// minion that does not answer is not renewed further, so that its runs lapse
// for certain; nor is one while no entry is heard from, so that whoever can't
// reach the sidecar knows that the lease has lapsed, nor while there are doubtful
// ends.
func (c *Core) MayRenew(now time.Time) bool {
	return !c.unresponsive && len(c.uncertainEnds) == 0 && (!c.listingRead || now.Sub(c.firstListedAt) <= SilenceLimit || c.anyEntryInContact(now))
}

// anyEntryInContact reports whether any entry was heard from in time.
func (c *Core) anyEntryInContact(now time.Time) bool {
	for _, known := range c.entries {
		if !known.silent && now.Sub(known.newestEcho) <= SilenceLimit {
			return true
		}
	}
	return false
}

// silent reports whether an entry was not heard from in time.
func (c *Core) silent(now time.Time, entry string) bool {
	known, ok := c.entries[entry]
	return !ok || known.silent || now.Sub(known.newestEcho) > SilenceLimit
}

// TakeActions returns the actions asked for since the last call.
func (c *Core) TakeActions() []Action {
	taken := c.actions
	c.actions = nil
	return taken
}

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }

// SetEvacuated says whether the availability zone is taken out.
func (c *Core) SetEvacuated(now time.Time, evacuated bool) {
	if c.evacuated == evacuated {
		return
	}
	c.evacuated = evacuated
	c.reschedule(now)
}

// Drain begins the planned stop: nothing new is started.
func (c *Core) Drain(now time.Time) {
	c.draining = true
	c.reschedule(now)
}

// Idle reports whether nothing is at work for anybody.
func (c *Core) Idle() bool {
	return len(c.runs) == 0
}

// refusal returns why the sidecar takes no orders at all, if so.
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

// reschedule hands back what may no longer start, starts what has room, and tells
// every entry that the state has changed.
func (c *Core) reschedule(now time.Time) {
	if reason := c.refusal(); reason != session.RefusedNone && reason != session.RefusedNoMinion {
		c.handBackQueue(now)
	}
	c.startQueued(now)
	for name := range c.entries {
		c.emit(NotifyEntry{Entry: name})
	}
}
