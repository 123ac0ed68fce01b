package execution

import "time"

const (
	// SilenceLimit is the age of an entry's newest echo beyond which the entry's
	// runs are stopped. A caller submits a job again more than a second after its
	// connection broke; by then the runs must have ended.
	SilenceLimit = 450 * time.Millisecond
	// silentEntryRetention is how long a silent entry and the ends of its runs are
	// kept after SilenceLimit. The entry gives up its runs before that.
	silentEntryRetention = 2 * time.Second
	// OrderMaxAge is the age beyond which an order is refused, because the entry
	// may have given up on it and placed the task elsewhere.
	OrderMaxAge = 400 * time.Millisecond
	// Lease is how long runs continue without a renewal.
	Lease = 600 * time.Millisecond
	// UnresponsiveAfter is the time without an answered poll after which the minion
	// gets no starts and no renewals.
	UnresponsiveAfter = 350 * time.Millisecond
	// PollOverdueAfter is the time without an answered poll after which an
	// additional poll is sent while others are in flight.
	PollOverdueAfter = 200 * time.Millisecond
	// A minion counts as lost when more than lostMinionPolls polls in a row and
	// more than lostMinionAfter have passed without an answer.
	lostMinionAfter = 4 * time.Second
	lostMinionPolls = 10
	// StopRetry is the time after which a stop is sent again if the run is not
	// listed as ended.
	StopRetry = 150 * time.Millisecond
	// minStuckTime is the shortest time without progress after which a run counts
	// as stuck.
	minStuckTime = 400 * time.Millisecond
	// stuckShare is the share of a run's estimate that may pass without progress
	// before the run counts as stuck.
	stuckShare = 0.5
	// linearRunNumberRetries is how many further run numbers are tried one after the
	// other when the minion answers that a number was used before. Each try after that
	// skips twice as many as the one before.
	linearRunNumberRetries = 6
	// maxSkippedAttempts bounds by how many attempts the number of a run may be ahead of the
	// attempt that was ordered: no route allows more failed runs of a task.
	maxSkippedAttempts = 10
	// usedNumberRetention is how long the highest run number of a task is remembered.
	usedNumberRetention = 5 * time.Minute
	// fenceStep is added to the fence when the minion has seen a higher one. Fences
	// start at the Unix time in milliseconds, so one step is an hour.
	fenceStep = int64(time.Hour / time.Millisecond)
	// maxQueued bounds the orders that wait for capacity.
	maxQueued = 512
	// defaultTurnover is the turnover assumed while nothing runs.
	defaultTurnover = 200 * time.Millisecond
)
