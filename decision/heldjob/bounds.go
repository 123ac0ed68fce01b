package heldjob

import (
	"time"

	"github.com/figring/figring/decision/execution"
)

const (
	// leaseMargin covers a minion clock that runs up to 2 % slow and the transit
	// time of a lease renewal.
	leaseMargin = execution.Lease/50 + 30*time.Millisecond
	// stopTime is how long a minion takes to stop a run, including the transit
	// time of the stop request.
	stopTime = 100 * time.Millisecond
	// RunExpiry is the time after which no run of the entry can be active at a
	// sidecar, counted from the newest message of the entry that the sidecar may
	// have received. The sidecar stops the runs of an entry that is silent for
	// execution.SilenceLimit; if the sidecar is frozen by then, the lease that it
	// renewed last expires at the minion.
	RunExpiry = execution.SilenceLimit + stopTime + execution.Lease + leaseMargin
	// maxMinionAge is the age up to which what an entry knows of a minion is passed on to
	// a sidecar that has just started. The minion's capacity may have shrunk since.
	maxMinionAge = 2 * time.Second
	// maxLatenessFactor is the multiple of its latency objective that a job may take
	// and still be of use to a caller that sent no timeout.
	maxLatenessFactor = 3
	// answerMargin is reserved before the caller's deadline for sending the answer.
	answerMargin = 40 * time.Millisecond
	// minEstimateShare is the fraction of its estimated run time that a job is
	// assumed to take at least.
	minEstimateShare = 0.5
	// maxCachedAnswers bounds the answers of ended jobs that are cached for repeated
	// submissions.
	maxCachedAnswers = 4096
	// minRetryAfter is the shortest Answer.RetryAfter of a refusal.
	minRetryAfter = time.Second
	// defaultStretch applies to routes that configure no stretch.
	defaultStretch = 1.5
	// startMargin is the part of a job's slack that is reserved for the transit time
	// of its messages.
	startMargin = 10 * time.Millisecond
	// maxRefusedReplies is the number of replies with refusals after which a job
	// accepts any wait that is still in time, and pauses between placement attempts.
	maxRefusedReplies = 3
	// warmupTime is how long after its start an entry may still be discovering its
	// sidecars.
	warmupTime = 2 * time.Second
	// settleQuiet is the time without a new session after which the sidecars that are
	// still missing are taken to be gone.
	settleQuiet = 250 * time.Millisecond
	// settleReserve is the part of its slack that a job does not spend on waiting for
	// sidecars that are still connecting, but keeps for waiting at one that is.
	settleReserve = 30 * time.Millisecond
	// maxStoredJobs bounds the stored jobs of one entry that are queued or being
	// created.
	maxStoredJobs = 20_000
	// storedMaxExpectedWait is the longest expected wait for room with which a task
	// of a stored job is placed at a sidecar; otherwise the task waits at the entry.
	storedMaxExpectedWait = 40 * time.Millisecond
	// storedMaxQueueWait bounds the wait of a stored job's task for room at a sidecar.
	storedMaxQueueWait = 400 * time.Millisecond
	// handBackMargin covers the time from when a sidecar hands a task back from its queue
	// until the entry knows.
	handBackMargin = 150 * time.Millisecond
	// storedExpiryMargin is added to RunExpiry for tasks of stored jobs at an
	// unreachable sidecar: the sidecar may hold the end of a task, and a task that has
	// ended must not run again.
	storedExpiryMargin = 4 * time.Second
	// reconnectTime is how long an entry that has regained the ownership of its jobs
	// tries to reach sidecars that it had lost before it runs their tasks elsewhere.
	reconnectTime = 1500 * time.Millisecond
	// maxQueueMisses is the number of consecutive jobs without room after which the
	// scan of the queue ends.
	maxQueueMisses = 8
	// noMinionRetryInterval is the time between two placement attempts for a stored
	// job that no minion may run at present.
	noMinionRetryInterval = 100 * time.Millisecond
	// blockedStepInterval is the shortest time between the attempts to place two steps that
	// no minion may run at present.
	blockedStepInterval = 200 * time.Microsecond
	// placementRetryInterval is the shortest time between two attempts to place tasks
	// that found no room.
	placementRetryInterval = 5 * time.Millisecond
)
