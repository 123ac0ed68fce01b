package heldjob

import (
	"cmp"
	"slices"
	"time"
)

// SetExpectedSidecars records the number of sidecars that the entry should have
// sessions with. While it is not known yet, the caller passes a very large number.
func (c *Core) SetExpectedSidecars(count int) { c.expectedSidecars = count }

// Settling reports whether the entry has started so recently that it is still meeting its
// sidecars. The capacity that it knows of is then only a part of the capacity within its
// reach, so that a lack of it says little. An entry has settled when all expected
// sidecars accept tasks, when some do and no other has begun to for settleQuiet, or when
// the warmup time is over.
func (c *Core) Settling(now time.Time) bool {
	if !now.Before(c.warmupUntil) {
		return false
	}
	targets := c.Targets()
	return targets == 0 || (targets < c.expectedSidecars && now.Sub(c.targetAddedAt) <= settleQuiet)
}

// waitsForSettling reports whether a job without room should wait for the sidecars that
// are still missing rather than be refused.
func (c *Core) waitsForSettling(now time.Time, job *job) bool {
	return c.Settling(now) && job.slack(now) > 0
}

// planLimit returns the longest expected wait of a task with which the job is placed.
// While the entry is settling, a job that can wait is not queued at one of the few
// sidecars that are connected: those that connect next may be idle.
func (c *Core) planLimit(now time.Time, job *job) time.Duration {
	slack := max(job.slack(now), 0)
	switch {
	case job.mayHaveRun:
		return max(slack, job.answerDeadline.Sub(now)-job.estimatedRun())
	case slack > settleReserve && c.Settling(now):
		return 0
	}
	return slack
}

// unplacedJobs returns the best-effort jobs with unplaced tasks, the most urgent first:
// after the start of an entry many jobs wait, and the room that appears is for those that
// can wait least.
func (c *Core) unplacedJobs() []*job {
	var unplaced []*job
	for _, job := range c.jobs {
		if job.stored == nil && job.unplacedTasks > 0 {
			unplaced = append(unplaced, job)
		}
	}
	slices.SortFunc(unplaced, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(a.route.Priority, b.route.Priority),
			a.objectiveEnd.Compare(b.objectiveEnd),
			cmp.Compare(a.id, b.id),
		)
	})
	return unplaced
}
