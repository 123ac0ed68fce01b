package heldjob

import (
	"time"

	"github.com/figring/figring/decision/placement"
	"github.com/figring/figring/decision/quarantine"
	"github.com/figring/figring/session"
)

// MinionCrashed records a crash of a sidecar's minion. Jobs of this entry with a task that
// is poison fail.
func (c *Core) MinionCrashed(now time.Time, name string, crash *session.Crash) {
	service := c.sidecar(name).candidate.State.Minion.Service
	for _, key := range c.quarantine.RecordCrash(now, name, service, crash) {
		c.recordDecision(Decision{Kind: DecidedPoison, Job: key.Job, Task: key.Index, Sidecar: name, Crashes: c.quarantine.Crashes(key)})
		if job, ok := c.jobs[key.Job]; ok {
			c.end(job, Answer{Outcome: Failed, Reason: ReasonPoison})
		}
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
	for _, task := range job.tasks {
		if task.phase != phaseDone && c.quarantine.Poison(task.key) {
			return true
		}
	}
	return false
}

// isolate makes a task that may have crashed a minion run apart from those of other jobs,
// and returns the sidecars that it should avoid: those whose minions have crashed lately
// too.
func (c *Core) isolate(now time.Time, task *task, wanted *placement.Task) (avoided map[string]bool) {
	if c.quarantine.Crashes(task.key) == 0 {
		return task.avoidedSidecars
	}
	wanted.Pause = isolationPause(c.quarantine.Isolation(now, task.key), wanted.Estimate)
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
		return 2 * quarantine.Spacing
	case session.IsolationAlone:
		return estimate
	}
	return 0
}
