package execution

import "time"

const (
	// SilenceLimit is the age of an entry's newest echo beyond which its runs
	// are stopped. A caller sends a job again more than a second after its
	// connection broke; by then the runs have to be gone.
	SilenceLimit = 450 * time.Millisecond
	// silentEntryRetention is how long the ends of a silent entry's runs are kept. The
	// entry gives its runs up itself before that.
	silentEntryRetention = 2 * time.Second
	// OrderMaxAge is the age beyond which an order is refused, because the
	// entry may have given up on it and placed it elsewhere.
	OrderMaxAge = 400 * time.Millisecond
	// Lease is the time for which runs go on without a renewal.
	Lease = 600 * time.Millisecond
	// UnresponsiveAfter is the time without an answered look after which the minion
	// gets no starts and no renewals.
	UnresponsiveAfter = 350 * time.Millisecond
	// PollOverdueAfter is the time without an answered look after which another one
	// is sent beside those under way.
	PollOverdueAfter = 200 * time.Millisecond
	// lostMinionAfter is the time, and lostLooksLimit the number of looks in a
	// row, without an answer after which a minion is lost.
	lostMinionAfter = 4 * time.Second
	lostMinionPolls  = 10
	// StopRetry is the time after which an unanswered stop is sent again.
	StopRetry = 150 * time.Millisecond
	// minStuckTime is the shortest time without progress that makes a run stuck.
	minStuckTime = 400 * time.Millisecond
	// stuckShare is the part of the estimate without progress that makes a run
	// stuck.
	stuckShare = 0.5
	// maxNumberRetries bounds the run numbers tried when the minion says that a
	// number is used up.
	maxNumberRetries = 6
	// fenceStep is added to a fence that the minion has seen a higher one of.
	// Fences start at the Unix time in milliseconds, so a step is an hour.
	fenceStep = int64(time.Hour / time.Millisecond)
	// maxQueued bounds the orders that wait for room.
	maxQueued = 512
	// defaultTurnover stands for the turnover when nothing runs.
	defaultTurnover = 200 * time.Millisecond
)
