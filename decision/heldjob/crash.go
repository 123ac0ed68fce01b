package heldjob

import (
	"slices"
	"time"

	"github.com/figring/figring/decision/placement"
	"github.com/figring/figring/decision/quarantine"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// MinionCrashed records a crash of a sidecar's minion. Jobs of this entry with a task that
// is poison fail.
func (c *Core) MinionCrashed(now time.Time, name string, crash *session.Crash) {
	service := c.sidecar(name).candidate.State.Minion.Service
	for _, key := range c.quarantine.RecordCrash(now, name, service, crash) {
		c.recordDecision(Decision{Kind: DecidedPoison, Job: key.Job, Task: key.Index, Sidecar: name, Crashes: c.quarantine.Crashes(key)})
		if job, ok := c.jobs[key.Job]; ok {
			c.endIfPoison(job)
		}
	}
	c.recordConfinements()
}

// PoisonReported records a task that another entry has found to be poison, reported by a
// sidecar. A job of this entry with that task fails.
func (c *Core) PoisonReported(now time.Time, name string, reported *session.PoisonTask) {
	if !c.quarantine.RecordPoison(now, reported) {
		return
	}
	c.recordDecision(Decision{Kind: DecidedPoison, Job: reported.Task.Job, Task: reported.Task.Index, Sidecar: name})
	if job, ok := c.jobs[reported.Task.Job]; ok {
		c.endIfPoison(job)
	}
}

// PoisonAfter returns the tasks that this entry has found to be poison, with numbers above
// the given one, and the highest number.
func (c *Core) PoisonAfter(now time.Time, number uint64) ([]session.PoisonTask, uint64) {
	return c.quarantine.ProofsAfter(now, number)
}

// SetKnownSidecars records the number of sidecars in the fleet.
func (c *Core) SetKnownSidecars(count int) { c.knownSidecars = count }

// recordConfinements records the routes whose confinement has begun or ended.
func (c *Core) recordConfinements() {
	for _, change := range c.quarantine.TakeChanges() {
		kind := DecidedRouteReleased
		if change.Confined {
			kind = DecidedRouteConfined
		}
		c.recordDecision(Decision{Kind: kind, Route: change.Route, Crashes: change.BlamedJobs})
	}
}

// endIfPoison fails a job with a task that is poison.
func (c *Core) endIfPoison(job *job) bool {
	if !c.hasPoison(job) {
		return false
	}
	c.end(job, Answer{Outcome: Failed, Reason: ReasonPoison})
	return true
}

func (c *Core) hasPoison(job *job) bool {
	for step := range job.steps {
		for index := range job.tasks.unfinished(job.steps, step) {
			if c.quarantine.Poison(work.TaskKey{Job: job.id, Step: step, Index: index}) {
				return true
			}
		}
	}
	return false
}

// yieldsRoom reports whether a best-effort job waits with an unplaced task that leaves the
// room of its route to new jobs. It records when that begins.
func (c *Core) yieldsRoom(now time.Time, job *job) bool {
	for _, task := range job.tasks.states {
		if task.phase != phaseUnplaced || !c.quarantine.YieldsRoom(now, task.key, job.route.Name) {
			continue
		}
		if !job.yields {
			c.recordDecision(Decision{Kind: DecidedYields, Job: job.id, Task: task.key.Index, Route: job.route.Name, Crashes: c.quarantine.Crashes(task.key)})
		}
		job.yields = true
		return true
	}
	job.yields = false
	return false
}

// limitPlacement restricts a plan to the sidecars that the job may use: confined routes
// get some of the service's sidecars, and other routes the rest. A job that needs a minion
// of the other part may use both.
func (c *Core) limitPlacement(now time.Time, job *job, confined map[string]bool, planned *plan) {
	if len(confined) == 0 {
		return
	}
	names := c.sidecarsOf(job.route.Service)
	set := c.quarantine.ConfinedSidecars(now, names)
	inSet := confined[job.route.Name]
	allowed := func(name string) bool { return set[name] == inSet }
	if len(set) == 0 || c.needsOthers(job, allowed) {
		return
	}
	planned.allowed = allowed
}

// confinedRoutes returns the confined routes of a service. It records which confinements
// have begun or ended.
func (c *Core) confinedRoutes(now time.Time, service string) map[string]bool {
	confined := c.quarantine.ConfinedRoutes(now, service, c.sidecarCount(service))
	c.recordConfinements()
	return confined
}

// sidecarCount returns the number of sidecars of a service that is known for confinement.
func (c *Core) sidecarCount(service string) int {
	return max(len(c.sidecarsOf(service)), c.knownSidecars)
}

// needsOthers reports whether none of the allowed sidecars has a minion that can run some
// task of the job.
func (c *Core) needsOthers(job *job, allowed func(name string) bool) bool {
	for _, step := range job.steps {
		runnable := slices.ContainsFunc(c.candidates, func(candidate *placement.Candidate) bool {
			minion := &candidate.State.Minion
			return allowed(candidate.Name) && minion.Service == job.route.Service && minion.HasLabel(step.Label) && minion.Capacity.Fits(step.Need)
		})
		if !runnable {
			return true
		}
	}
	return false
}

// sidecarsOf returns the connected sidecars of a service outside evacuated zones.
func (c *Core) sidecarsOf(service string) []string {
	var names []string
	for _, candidate := range c.candidates {
		if candidate.State.Minion.Service == service && !c.chooser.Evacuated(candidate.Zone) {
			names = append(names, candidate.Name)
		}
	}
	return names
}

// isolate completes what is wanted for a task that is started in isolation, and returns
// the sidecars that it should avoid: for one that may have crashed a minion, those whose
// minions have crashed lately. The tasks of one job are kept together.
func (c *Core) isolate(now time.Time, task *task, wanted *placement.Task) (avoided map[string]bool) {
	isolation := c.quarantine.Isolation(task.key)
	wanted.Pause = isolationPause(isolation, wanted.Estimate)
	wanted.Together = isolation == session.IsolationSpaced
	if c.quarantine.Crashes(task.key) == 0 {
		return task.avoidedSidecars
	}
	avoided = make(map[string]bool)
	for _, candidate := range c.candidates {
		name := candidate.Name
		avoided[name] = task.avoidedSidecars[name] || c.quarantine.CrashedLately(now, name)
	}
	return avoided
}

// isolationPause returns for how long a task keeps its minion from starting others.
func isolationPause(isolation session.Isolation, estimate time.Duration) time.Duration {
	switch isolation {
	case session.IsolationSpaced:
		return quarantine.Spacing
	case session.IsolationAlone:
		return estimate
	}
	return 0
}
