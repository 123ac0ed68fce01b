package heldjob

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figring/figring/decision/placement"
	"github.com/figring/figring/decision/queuedelay"
	"github.com/figring/figring/manifest"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// Core is the state of one entry. It is not safe for concurrent use.
type Core struct {
	snapshot manifest.Snapshot
	chooser  placement.Chooser
	sidecars map[string]*sidecar
	// candidates are the connected sidecars in the order of their names.
	candidates []*placement.Candidate

	jobs   map[work.JobID]*job
	recent *recent
	// storing are the jobs that are being stored, queue the stored jobs in the
	// order in which they get room.
	storing map[work.JobID]*storing
	queue   []*job
	// delay predicts the wait of a new stored job.
	delay *queuedelay.Estimator
	// owning is true while no other entry may take the stored jobs over.
	owning      bool
	owningSince time.Time
	storeOut    bool
	// nextQueueTry is when the queue is looked at again.
	nextQueueTry time.Time
	// warmUntil is when the sidecars that live must have been found; a job that
	// finds none before waits for them.
	warmUntil time.Time

	actions []Action
	events  []Decision
}

// sidecar is what the core keeps of one sidecar.
type sidecar struct {
	candidate *placement.Candidate
	connected bool
	// opening is true while a Hello is under way; the sidecar may take it.
	opening  bool
	requests uint64
	// deadAt is when no run can be at work there any more, while it is not
	// connected.
	deadAt time.Time
	// placed are the tasks that the sidecar has, or may have.
	placed map[work.TaskKey]*task
	// notes are the events of the sidecar's present life that are not noted yet,
	// in their order.
	notes []*note
	noted uint64
}

// New returns the core of an entry in the availability zone that starts now.
func New(zone string, random *rand.Rand, now time.Time) *Core {
	core := &Core{
		sidecars: make(map[string]*sidecar),
		jobs:     make(map[work.JobID]*job),
		recent:   newRecent(recentAnswers),
		storing:  make(map[work.JobID]*storing),
		delay:    queuedelay.New(),

		warmUntil: now.Add(warmTime),
	}
	core.chooser = placement.Chooser{
		Zone:      zone,
		Evacuated: func(zone string) bool { return core.snapshot.Evacuated(zone) },
		Random:    random,
	}
	return core
}

// Take returns the actions asked for since the last call.
func (c *Core) Take() []Action {
	taken := c.actions
	c.actions = nil
	return taken
}

// Decisions returns the decisions made since the last call, for the log.
func (c *Core) Decisions() []Decision {
	taken := c.events
	c.events = nil
	return taken
}

func (c *Core) ask(action Action) { c.actions = append(c.actions, action) }

// SetSnapshot takes a newer configuration.
func (c *Core) SetSnapshot(snapshot manifest.Snapshot) { c.snapshot = snapshot }

// Count returns the number of jobs that the entry has.
func (c *Core) Count() int { return len(c.storing) + len(c.jobs) }

// Open returns the number of jobs without an answer, and of stored jobs of which
// something runs or is being written.
func (c *Core) Open() int {
	open := len(c.storing)
	for _, job := range c.jobs {
		if job.kept == nil || job.underWay() {
			open++
		}
	}
	return open
}

// Targets returns the number of sidecars that take orders.
func (c *Core) Targets() int {
	count := 0
	for _, candidate := range c.candidates {
		if candidate.State.Taking {
			count++
		}
	}
	return count
}

// Placed returns the number of tasks that a sidecar has, or may have.
func (c *Core) Placed(name string) int {
	known, ok := c.sidecars[name]
	if !ok {
		return 0
	}
	return len(known.placed)
}

// Pending returns the number of jobs of a route of which no task was placed.
func (c *Core) Pending(route string) int {
	count := 0
	for _, job := range c.jobs {
		if job.route.Name == route && !job.begun {
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

// Opening says that a session with the sidecar is about to be opened with the
// claims that are returned. Either Connected or OpenFailed has to follow.
func (c *Core) Opening(name string) ([]session.Claim, session.Minion) {
	known := c.sidecar(name)
	known.opening = true
	return c.claims(known), known.candidate.State.Minion
}

// OpenFailed says that no session was opened. The sidecar may have heard of
// the entry until lastSign.
func (c *Core) OpenFailed(name string, lastSign time.Time) {
	known := c.sidecar(name)
	known.opening = false
	known.deadAt = lastSign.Add(DeadAfter)
}

// Connected takes a new session with a sidecar that was opened with claims.
func (c *Core) Connected(name, zone string, claims []session.Claim) {
	known := c.sidecar(name)
	known.opening = false
	known.connected = true
	for _, claim := range claims {
		if _, wanted := known.placed[claim.Task]; !wanted {
			c.ask(StopJob{Sidecar: name, Job: claim.Task.Job})
		}
	}
	known.requests = 0
	known.candidate.Zone = zone
	known.candidate.ClearPending()
	for _, task := range known.placed {
		task.phase = ordered
	}
	c.rebuildCandidates()
}

func (c *Core) sidecar(name string) *sidecar {
	known, ok := c.sidecars[name]
	if !ok {
		known = &sidecar{
			candidate: &placement.Candidate{Name: name},
			placed:    make(map[work.TaskKey]*task),
		}
		c.sidecars[name] = known
	}
	return known
}

// claims returns what the entry believes to be at the sidecar.
func (c *Core) claims(known *sidecar) []session.Claim {
	claims := make([]session.Claim, 0, len(known.placed))
	for key, task := range known.placed {
		step := c.jobs[key.Job].steps[task.step]
		claims = append(claims, session.Claim{Task: key, Need: step.Need, Estimate: step.Estimate, Kept: c.jobs[key.Job].kept != nil})
	}
	return claims
}

// Disconnected takes the end of a session. The newest sign that the sidecar
// may have had of this entry was sent at lastSign.
func (c *Core) Disconnected(name string, lastSign time.Time) {
	known, ok := c.sidecars[name]
	if !ok || !known.connected {
		return
	}
	known.connected = false
	known.deadAt = lastSign.Add(DeadAfter)
	known.candidate.State.Taking = false
	for _, task := range known.placed {
		task.phase = lost
	}
	c.rebuildCandidates()
}

// Updated takes a sidecar's newer state.
func (c *Core) Updated(now time.Time, name string, state session.State) {
	known, ok := c.sidecars[name]
	if !ok || !known.connected {
		return
	}
	known.candidate.Update(state, now)
}

// Tick looks at what is due by time alone.
func (c *Core) Tick(now time.Time) {
	c.reviveLost(now)
	c.tickKept(now)
	for _, job := range c.jobs {
		if job.kept != nil {
			continue
		}
		if now.After(job.useless) {
			c.giveUp(job, ReasonDeadline)
			continue
		}
		c.place(now, job)
	}
}

// reviveLost frees the tasks of sidecars whose runs must have lapsed.
func (c *Core) reviveLost(now time.Time) {
	for name, known := range c.sidecars {
		if known.connected || known.opening || now.Before(known.deadAt) {
			continue
		}
		for _, task := range known.placed {
			if c.jobs[task.key.Job].kept != nil && (now.Before(known.deadAt.Add(keptDeadMargin)) || !c.mayGiveUp(now)) {
				continue
			}
			c.runEnded(now, name, task, work.EndLapsed)
		}
		if len(known.placed) == 0 && len(known.notes) == 0 {
			delete(c.sidecars, name)
		}
	}
}
