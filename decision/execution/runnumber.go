package execution

import (
	"maps"
	"time"

	"github.com/figring/figring/work"
)

// numbersPerAttempt is the count of run numbers that each attempt at a task has. An
// attempt uses one for each start that had no effect or whose run was stopped, and skips
// some where a sidecar does not know which ones were used.
const numbersPerAttempt = 1000

// firstRunNumber returns the number of the first run of an attempt. Attempts are
// numbered from 1, as are runs, so that the number of a run tells its attempt to a
// sidecar that did not start it.
func firstRunNumber(attempt int) int {
	return (max(attempt, 1)-1)*numbersPerAttempt + 1
}

// usedNumber is the highest run number of a task that the minion is known to have seen.
type usedNumber struct {
	number int
	at     time.Time
}

// recordUsedNumber records that the minion has seen the run's number, for the next run of
// its task.
func (c *Core) recordUsedNumber(now time.Time, run *run) {
	maps.DeleteFunc(c.usedNumbers, func(_ work.TaskKey, used usedNumber) bool { return now.Sub(used.at) > usedNumberRetention })
	c.usedNumbers[run.task] = usedNumber{number: run.number, at: now}
}

// nextRunNumber returns the number of a new run of an attempt: the lowest one that the
// minion is not known to have seen, which is one of a later attempt if it has seen such.
func (c *Core) nextRunNumber(task work.TaskKey, attempt int) int {
	first := firstRunNumber(attempt)
	used, ok := c.usedNumbers[task]
	if !ok {
		return first
	}
	return max(used.number+1, first)
}

// attemptOf returns the attempt that a run belongs to.
func attemptOf(runNumber int) int {
	return (max(runNumber, 1)-1)/numbersPerAttempt + 1
}
