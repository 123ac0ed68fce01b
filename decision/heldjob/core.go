package heldjob

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figring/figring/decision/classload"
	"github.com/figring/figring/decision/interference"
	"github.com/figring/figring/decision/placement"
	"github.com/figring/figring/decision/quarantine"
	"github.com/figring/figring/decision/queuedelay"
	"github.com/figring/figring/decision/runtimes"
	"github.com/figring/figring/manifest"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// Core is the state machine of one entry. It is not safe for concurrent use.
type Core struct {
	snapshot manifest.Snapshot
	chooser  placement.Chooser
	sidecars map[string]*sidecar
	// candidates are the connected sidecars, sorted by name.
	candidates []*placement.Candidate

	jobs    map[work.JobID]*job
	memory  jobMemory
	answers *answerCache
	// pendingCreates are the jobs whose CreateJob has not been answered. queue holds
	// the stored jobs that have not ended, in the order in which they are placed.
	pendingCreates map[work.JobID]*pendingCreate
	queue          []*job
	// quarantine keeps tasks and routes apart under which minions crash.
	quarantine *quarantine.Tracker
	// queueDelay estimates how long a new stored job will wait for room.
	queueDelay *queuedelay.Estimator
	// Until ownedUntil no other entry may take over the stored jobs of this one, and none
	// has been able to since ownedSince.
	ownedSince, ownedUntil time.Time
	// runsUntil is until when runs of stored jobs may go on if that is later than ownedUntil.
	runsUntil        time.Time
	storeUnavailable bool
	// releasing is true once the entry leaves its stored jobs to others.
	releasing bool
	// exiting is true once the process is about to exit. New jobs are refused.
	exiting bool
	// blockedSteps is the number of steps of stored jobs that no minion may run at present.
	blockedSteps int
	// nextQueueTry is the earliest time of the next scan of the queue.
	nextQueueTry time.Time
	// warmupUntil is when all live sidecars should have been discovered. A job for
	// which there is no sidecar before that time waits.
	warmupUntil time.Time
	// expectedSidecars is the number of sidecars that the entry should have sessions
	// with, and targetAddedAt when a sidecar last began to accept tasks.
	expectedSidecars int
	targetAddedAt    time.Time
	// knownSidecars is the number of sidecars in the fleet. The entry has sessions with
	// only some of them where there are many.
	knownSidecars int
	// failures compares the failure shares of the candidates, next at nextComparison.
	failures       placement.FailureComparison
	nextComparison time.Time
	// runTimes are the run times of the candidates' minions, next combined at
	// nextRunTimes.
	runTimes     *runtimes.Fleet
	nextRunTimes time.Time
	// interference is what the sidecars have reported on kinds of tasks, next added up at
	// nextInterference.
	interference     interference.Fleet
	nextInterference time.Time
	// keptApart counts the tasks that were sent elsewhere for it.
	keptApart int

	// classScheduling is true if classes of services have an order, and classes has
	// the priorities of each service whose routes have different ones, in ascending
	// order.
	classScheduling bool
	classes         map[string][]int
	classLoad       *classload.Tracker
	// knownEntries is the number of known entries.
	knownEntries int

	actions   []Action
	decisions []Decision
}

// sidecar is the state that Core keeps for one sidecar.
type sidecar struct {
	candidate *placement.Candidate
	connected bool
	// opening is true while a Hello call is in flight, which the sidecar may accept.
	opening bool
	// lastRequest is the number of the newest StartRequest of the session.
	lastRequest uint64
	// runsExpireAt is when no run of this entry can be active there any more. It
	// applies while the sidecar is not connected.
	runsExpireAt time.Time
	// placed are the tasks that the sidecar has or may have.
	placed map[work.TaskKey]*task
	// acks are the events since the sidecar's last restart that are not acknowledged
	// yet, in the order of their numbers.
	acks      []*eventAck
	ackedUpTo uint64
	// unstored are those of these events that TakeUnstored has not returned yet.
	unstored []uint64
	// told are the latest ends that the sidecar has told, the oldest first. They outlast
	// its restarts.
	told []toldEnd
}

// New returns the Core of an entry that starts now in the availability zone.
func New(zone string, random *rand.Rand, now time.Time) *Core {
	core := &Core{
		sidecars:       make(map[string]*sidecar),
		jobs:           make(map[work.JobID]*job),
		memory:         jobMemory{limit: defaultJobBytes, reserved: make(map[work.JobID]memoryPart)},
		answers:        newAnswerCache(maxCachedAnswers),
		pendingCreates: make(map[work.JobID]*pendingCreate),
		queueDelay:     queuedelay.New(),
		quarantine:     quarantine.New(),
		runTimes:       runtimes.NewFleet(),
		classLoad:      classload.New(),

		warmupUntil: now.Add(warmupTime),
	}
	core.chooser = placement.Chooser{
		Zone:      zone,
		Evacuated: func(zone string) bool { return core.snapshot.Evacuated(zone) },
		Random:    random,
	}
	return core
}

// TakeActions returns the actions added since the last call and clears them.
func (c *Core) TakeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// Decisions returns the decisions made since the last call, for the log, and clears
// them.
func (c *Core) Decisions() []Decision {
	decisions := c.decisions
	c.decisions = nil
	return decisions
}

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }

// SetSnapshot sets the configuration in force.
func (c *Core) SetSnapshot(snapshot manifest.Snapshot) {
	c.snapshot = snapshot
	c.setClasses()
}

// JobCount returns the number of jobs of the entry, including those being created.
func (c *Core) JobCount() int { return len(c.pendingCreates) + len(c.jobs) }

// ActiveJobs returns the number of jobs without an answer plus the number of stored
// jobs with a task that may be running or with a write in flight.
func (c *Core) ActiveJobs() int {
	count := len(c.pendingCreates)
	for _, job := range c.jobs {
		if job.stored == nil || job.active() {
			count++
		}
	}
	return count
}

// Targets returns the number of sidecars that accept tasks.
func (c *Core) Targets() int {
	count := 0
	for _, candidate := range c.candidates {
		if candidate.State.Accepting {
			count++
		}
	}
	return count
}

// PlacedTasks returns the number of tasks that a sidecar has or may have.
func (c *Core) PlacedTasks(name string) int {
	sidecar, ok := c.sidecars[name]
	if !ok {
		return 0
	}
	return len(sidecar.placed)
}

// PendingJobs returns the number of jobs of a route of which no task counts as begun.
func (c *Core) PendingJobs(now time.Time, route string) int {
	count := 0
	for _, job := range c.jobs {
		if job.route.Name == route && !job.begun(now) {
			count++
		}
	}
	return count
}

func (c *Core) rebuildCandidates() {
	c.candidates = c.candidates[:0]
	for _, name := range slices.Sorted(maps.Keys(c.sidecars)) {
		if c.sidecars[name].connected {
			c.candidates = append(c.candidates, c.sidecars[name].candidate)
		}
	}
}

// BeginSession records that a session with the sidecar is about to be opened. It
// returns the claims for the Hello call, and the minion unless what is known of it is old.
// Connected or SessionFailed must follow.
func (c *Core) BeginSession(now time.Time, name string) ([]session.Claim, session.Minion) {
	sidecar := c.sidecar(name)
	sidecar.opening = true
	if now.Sub(sidecar.candidate.StateAt) > maxMinionAge {
		return c.claims(sidecar), session.Minion{}
	}
	return c.claims(sidecar), sidecar.candidate.State.Minion
}

// SessionFailed records that no session was opened. lastMessage is when the newest
// message was sent that the sidecar may have received from this entry.
func (c *Core) SessionFailed(name string, lastMessage time.Time) {
	sidecar := c.sidecar(name)
	sidecar.opening = false
	sidecar.runsExpireAt = lastMessage.Add(RunExpiry)
}

// Connected records a new session with a sidecar, opened with the claims.
func (c *Core) Connected(name, zone string, claims []session.Claim) {
	sidecar := c.sidecar(name)
	sidecar.opening = false
	sidecar.connected = true
	sidecar.lastRequest = 0
	for _, claim := range claims {
		if _, wanted := sidecar.placed[claim.Task]; !wanted {
			c.stopJob(name, claim.Task.Job)
		}
	}
	sidecar.candidate.Zone = zone
	sidecar.candidate.ClearPending()
	for _, task := range sidecar.placed {
		task.phase = phaseSent
	}
	c.withdrawRunsAt(name)
	c.rebuildCandidates()
}

func (c *Core) sidecar(name string) *sidecar {
	found, ok := c.sidecars[name]
	if !ok {
		found = &sidecar{
			candidate: &placement.Candidate{Name: name},
			placed:    make(map[work.TaskKey]*task),
		}
		c.sidecars[name] = found
	}
	return found
}

// claims returns the runs that the entry believes to be at the sidecar.
func (c *Core) claims(sidecar *sidecar) []session.Claim {
	claims := make([]session.Claim, 0, len(sidecar.placed))
	for key, task := range sidecar.placed {
		step := c.jobs[key.Job].steps[task.step]
		claims = append(claims, session.Claim{Task: key, Attempt: task.attempt(), Epoch: task.epoch, Route: c.jobs[key.Job].route.Name, Need: step.Need, Estimate: step.Estimate, Stored: c.jobs[key.Job].stored != nil})
	}
	return claims
}

// Disconnected records the end of a session. lastMessage is when the newest message was
// sent that the sidecar may have received from this entry.
func (c *Core) Disconnected(name string, lastMessage time.Time) {
	sidecar, ok := c.sidecars[name]
	if !ok || !sidecar.connected {
		return
	}
	sidecar.connected = false
	sidecar.runsExpireAt = lastMessage.Add(RunExpiry)
	sidecar.candidate.State.Accepting = false
	for _, task := range sidecar.placed {
		task.phase = phaseLost
	}
	c.rebuildCandidates()
}

// Updated records a newer state of a sidecar.
func (c *Core) Updated(now time.Time, name string, state session.State) {
	sidecar, ok := c.sidecars[name]
	if !ok || !sidecar.connected {
		return
	}
	if state.Accepting && !sidecar.candidate.State.Accepting {
		c.targetAddedAt = now
	}
	sidecar.candidate.Update(state, now)
	c.compareMinions(now)
	c.updateInterference(now, sidecar.candidate)
}

// Tick does what is due at the time: it frees tasks at unreachable sidecars, gives up
// late jobs and creates, withdraws runs of stored jobs, and retries placement.
func (c *Core) Tick(now time.Time) {
	c.refreshClasses(now)
	c.freeLostTasks(now)
	c.tickStored(now)
	runsEnd := c.runsEnd()
	for _, job := range c.jobs {
		switch {
		case job.stored != nil:
			c.withdrawIfDue(now, job, runsEnd)
		case now.After(job.answerDeadline):
			c.giveUp(job, ReasonDeadline)
		}
	}
	for _, job := range c.unplacedJobs() {
		c.place(now, job)
	}
}

// freeLostTasks frees the tasks of unreachable sidecars whose runs must have expired.
func (c *Core) freeLostTasks(now time.Time) {
	for name, sidecar := range c.sidecars {
		if sidecar.connected || sidecar.opening || now.Before(sidecar.runsExpireAt) {
			continue
		}
		for _, task := range sidecar.placed {
			job := c.jobs[task.key.Job]
			if job.stored != nil && (now.Before(sidecar.runsExpireAt.Add(storedExpiryMargin)) || !c.mayRerunLost(now)) {
				continue
			}
			if job.stored != nil {
				c.beginEpoch(job)
			}
			c.finishRun(now, name, task, work.EndLapsed)
		}
		if len(sidecar.placed) == 0 && len(sidecar.acks) == 0 {
			c.classLoad.Forget(name)
			delete(c.sidecars, name)
		}
	}
}
