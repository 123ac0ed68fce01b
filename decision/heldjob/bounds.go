package heldjob

import (
	"time"

	"github.com/figring/figring/decision/execution"
)

const (
	// leaseDrift covers a minion's clock that is up to 2 % slow, and the way
	// of a renewal.
	leaseDrift = execution.Lease/50 + 30*time.Millisecond
	// stopTime is how long a minion takes to stop a run, with the way of the
	// order.
	stopTime = 100 * time.Millisecond
	// RunExpiry is the time after the newest sign of the entry at a sidecar
	// after which no run of the entry can be at work there: the sidecar stops
	// them after its limit of silence, and if it is frozen then, the lease that
	// it renewed last has lapsed.
	RunExpiry = execution.SilenceLimit + stopTime + execution.Lease + leaseDrift
	// lateFactor is how many times its objective a job may take and still be
	// of use to its caller.
	lateFactor = 3
	// answerMargin is kept free before the caller's deadline for the answer.
	answerMargin = 40 * time.Millisecond
	// leastChainShare is the part of its estimate that a job takes at least.
	leastChainShare = 0.5
	// recentAnswers bounds the answers that are kept for callers who ask again.
	recentAnswers = 4096
	// minRetryAfter is the shortest time after which a refused caller is told
	// to come back.
	minRetryAfter = time.Second
	// defaultStretch stands for a route without one.
	defaultStretch = 1.5
	// startMargin is kept free of a job's slack for the way of its messages.
	startMargin = 10 * time.Millisecond
	// maxBounces is the number of refusals after which a job takes any place
	// that is in time, and waits between tries.
	maxBounces = 3
	// warmTime is how long an entry that has just started looks for sidecars.
	warmTime = 2 * time.Second
	// maxKeptJobs bounds the stored jobs of one entry.
	maxKeptJobs = 20_000
	// keptWait is the longest expected wait for room with which a task of a
	// stored job is placed; others wait at the entry.
	keptWait = 40 * time.Millisecond
	// keptMaxWait bounds the wait for room at a sidecar.
	keptMaxWait = 400 * time.Millisecond
	// keptDeadMargin is how much longer than DeadAfter the tasks of stored jobs
	// wait for a lost sidecar: it may hold the end of a task, and such a task
	// must not run again.
	keptDeadMargin = 4 * time.Second
	// reconnectTime is how long an entry that owns its jobs again looks for
	// sidecars that it had lost before it gives their tasks up.
	reconnectTime = 1500 * time.Millisecond
	// maxQueueMisses is the number of jobs without room after which the rest of
	// the queue waits.
	maxQueueMisses = 8
	// nowhereInterval is the time after which minions are looked for again that may
	// run a stored job.
	nowhereInterval = 100 * time.Millisecond
	// replaceInterval is the least time between two tries to place tasks that
	// found no room.
	replaceInterval = 5 * time.Millisecond
)
