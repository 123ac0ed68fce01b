package execution

import "time"

// trialDue reports whether the minion, if it is suspect, may get another trial task.
func (c *Core) trialDue(now time.Time) bool {
	return len(c.runs) < c.trials(now) && c.health.TrialDue(now)
}

// trialsRunning reports whether the minion is suspect and has as many runs in progress as
// it may have trial tasks.
func (c *Core) trialsRunning(now time.Time) bool {
	if !c.health.Suspect() {
		return false
	}
	active := 0
	for _, run := range c.runs {
		if run.holdsCapacity() {
			active++
		}
	}
	return active >= c.trials(now)
}

// trials returns how many trial tasks the minion may have at a time if it is suspect.
func (c *Core) trials(now time.Time) int {
	if !c.health.Suspect() {
		return 1
	}
	oldest := now
	for _, run := range c.runs {
		if run.holdsCapacity() && run.startedAt.Before(oldest) {
			oldest = run.startedAt
		}
	}
	return c.health.Trials(now, oldest)
}
