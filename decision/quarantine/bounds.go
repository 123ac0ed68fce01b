package quarantine

import "time"

const (
	// Spacing is the time before and after an isolated start in which its minion starts
	// nothing else. A task that crashes its minion does so within this time.
	Spacing = 100 * time.Millisecond
	// youngAge is the age up to which a run may have crashed its minion at its start. It
	// includes the time until the sidecar notices the crash.
	youngAge = 2 * Spacing
	// poisonCrashes is the number of minions that have to crash under a task before it
	// may be taken for poison.
	poisonCrashes = 2
	// aloneCrashes is the number of crashes from which a task is started alone. If its
	// minion crashes then too, the task is taken for poison.
	aloneCrashes = 3
	// maxUnprovedCrashes is the number of crashes, including those at which the start had
	// perhaps not reached the minion, after which a task is taken for poison anyway. The
	// users allow fewer than three starts after the third crash.
	maxUnprovedCrashes = 5
	// evidenceTime is how long a poison task counts as evidence against its route, and
	// how long a crash counts against the place of the minion.
	evidenceTime = 10 * time.Second
	// confineTime is how long a route stays confined after the last crash with a young
	// run of it: longer than a minion is away after a crash. firstConfineTime is how long
	// it does while only one of its jobs is to blame.
	confineTime      = 8 * time.Second
	firstConfineTime = 3 * time.Second
	// blamedShare is the number of jobs to blame from which a route is confined, as a
	// share of the service's sidecars; at least one.
	blamedShare = 0.1
	// confinedShare is the share of a service's sidecars that confined routes get.
	confinedShare = 0.3
	// shortageTime is how long a route counts as short of room after one of its jobs was
	// refused.
	shortageTime = time.Second
	// activeTime is how long a route counts as in use after a submission.
	activeTime = 5 * time.Second
	// retention is how long a task's crashes are remembered.
	retention = 60 * time.Second
	// maxTasks bounds the tasks that are remembered.
	maxTasks = 10_000
)
