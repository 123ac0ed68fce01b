package heldjob

import "time"

// LetRunUntil sets until when runs of stored jobs may go on after the entry has ceased to own
// its jobs for certain: no other entry starts their tasks before that. While the entry owns the
// jobs runs go on in any case.
func (c *Core) LetRunUntil(until time.Time) { c.runsUntil = until }

// runsEnd returns until when runs of stored jobs may go on.
func (c *Core) runsEnd() time.Time { return laterOf(c.runsUntil, c.ownedUntil) }

// withdrawIfDue stops the runs of a stored job that another entry may take over after end. They
// remain this entry's until their ends are told: if it still owns the job then, it starts the
// tasks again. Runs of best-effort jobs are nobody else's to start and go on.
func (c *Core) withdrawIfDue(now time.Time, job *job, end time.Time) {
	if job.stored.unconfirmed && job.stored.runsUntil.Before(end) {
		end = job.stored.runsUntil
	}
	overdue := now.After(end)
	if overdue && !job.stored.withdrawn {
		c.withdrawJob(job)
	}
	job.stored.withdrawn = overdue
}

// withdrawJob stops the runs of a job at the sidecars that are connected. The others have
// stopped them on their own, and are asked when they are connected again.
func (c *Core) withdrawJob(job *job) {
	asked := make(map[string]bool)
	for _, task := range job.tasks.states {
		if task.phase == phaseSent && !asked[task.sidecar] {
			asked[task.sidecar] = true
			c.stopJob(task.sidecar, job.id)
		}
	}
	if len(asked) > 0 {
		c.recordDecision(Decision{Kind: DecidedWithdrawn, Job: job.id, Targets: len(asked)})
	}
}

// withdrawRunsAt stops the runs at a sidecar, which was connected just now, of jobs whose runs
// have been withdrawn: the claims of the session have kept them going.
func (c *Core) withdrawRunsAt(name string) {
	asked := make(map[*job]bool)
	for key := range c.sidecars[name].placed {
		job := c.jobs[key.Job]
		if job.stored != nil && job.stored.withdrawn && !asked[job] {
			asked[job] = true
			c.stopJob(name, job.id)
		}
	}
}
