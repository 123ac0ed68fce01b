package heldjob

import (
	"time"

	"github.com/figring/figring/decision/execution"
)

const (
	// leaseMargin covers a minion's clock that is up to 2 % slow, and the way
	// of a renewal.
	leaseMargin = execution.Lease/50 + 30*time.Millisecond
	// stopTime is how long a minion takes to stop a run, with the way of the
	// order.
	stopTime = 100 * time.Millisecond
	// RunExpiry is the time after the newest sign of the entry at a sidecar
	// after which no run of the entry can be at work there: the sidecar stops
	// them after its limit of silence, and if it is frozen then, the lease that
	// it renewed last has lapsed.
	RunExpiry = execution.SilenceLimit + stopTime + execution.Lease + leaseMargin
	// maxLatenessFactor is how many times its objective a job may take and still be
	// of use to its caller.
	maxLatenessFactor = 3
	// answerMargin is kept free before the caller's deadline for the answer.
	answerMargin = 40 * time.Millisecond
	// minEstimateShare is the part of its estimate that a job takes at least.
	minEstimateShare = 0.5
	// maxCachedAnswers bounds the answers that are kept for callers who ask again.
	maxCachedAnswers = 4096
	// minRetryAfter is the shortest time after which a refused caller is told
	// to come back.
	minRetryAfter = time.Second
	// defaultStretch stands for a route without one.
	defaultStretch = 1.5
	// startMargin is kept free of a job's slack for the way of its messages.
	startMargin = 10 * time.Millisecond
	// maxRefusedReplies is the number of refusals after which a job takes any place
	// that is in time, and waits between tries.
	maxRefusedReplies = 3
	// warmupTime is how long an entry that has just started looks for sidecars.
	warmupTime = 2 * time.Second
	// maxStoredJobs bounds the stored jobs of one entry.
	maxStoredJobs = 20_000
	// storedMaxExpectedWait is the longest expected wait for room with which a task of a
	// stored job is placed; others wait at the entry.
	storedMaxExpectedWait = 40 * time.Millisecond
	// storedMaxQueueWait bounds the wait for room at a sidecar.
	storedMaxQueueWait = 400 * time.Millisecond
	// storedExpiryMargin is how much longer than DeadAfter the tasks of stored jobs
	// wait for a lost sidecar: it may hold the end of a task, and such a task
	// must not run again.
	storedExpiryMargin = 4 * time.Second
	// reconnectTime is how long an entry that owns its jobs again looks for
	// sidecars that it had lost before it gives their tasks up.
	reconnectTime = 1500 * time.Millisecond
	// maxQueueMisses is the number of jobs without room after which the rest of
	// the queue waits.
	maxQueueMisses = 8
	// noMinionRetryInterval is the time after which minions are looked for again that may
	// run a stored job.
	noMinionRetryInterval = 100 * time.Millisecond
	// placementRetryInterval is the least time between two tries to place tasks that
	// found no room.
	placementRetryInterval = 5 * time.Millisecond
)
