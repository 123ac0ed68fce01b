package execution

import (
	"time"

	"github.com/figring/figring/work"
)

// phase is how far a run has come.
type phase int

const (
	// queued runs wait for room; nothing was sent to the minion.
	queued phase = iota
	// starting runs were sent and not answered yet.
	starting
	// unconfirmed runs were sent, not answered in time, and may start later.
	unconfirmed
	// running runs are at work, as far as is known.
	running
	// stopping runs were ordered to stop and are not listed as ended yet.
	stopping
)

// run is one task at the minion.
type run struct {
	task  work.TaskKey
	entry string
	spec  string
	need  work.Room
	// needKnown is false for a run that was found at the minion and that no
	// entry has claimed yet.
	needKnown bool
	estimate  time.Duration
	// label is one that the minion must have; empty for none.
	label string
	// jobStored means that the task's job is stored.
	jobStored bool

	phase   phase
	number  int
	numberRetries   int
	startBy time.Time
	queueUntil  time.Time

	// orderedAt is when the order came, startedAt when its start was sent and
	// answeredAt when the minion answered it.
	orderedAt  time.Time
	startedAt  time.Time
	answeredAt time.Time
	// firstPoll is the number of the first look that must show the run.
	firstPoll uint64
	// confirmFence is the fence whose list decides about an unproved run.
	confirmFence int64

	// checkpoint is where the run resumed, or the newest that it has saved since.
	checkpoint work.Checkpoint
	percent    int
	progressAt time.Time
	stopSentAt time.Time
	// stopEnd is the end to report when the run was stopped.
	stopEnd work.End
	// withdrawn means that nobody waits for the run.
	withdrawn bool
}

// holdsCapacity reports whether the run may be at work or may still begin.
func (r *run) holdsCapacity() bool { return r.phase != queued }

// stuckAfter returns the time without progress that makes the run stuck.
func (r *run) stuckAfter() time.Duration {
	return max(minStuckTime, time.Duration(float64(r.estimate)*stuckShare))
}

// waited returns the time from the order to the start.
func (r *run) waited() time.Duration { return elapsed(r.orderedAt, r.startedAt) }

// answered returns the time from the start to the minion's answer.
func (r *run) answered() time.Duration { return elapsed(r.startedAt, r.answeredAt) }

// elapsed returns the time elapsed two moments, 0 when one never came.
func elapsed(from, to time.Time) time.Duration {
	if from.IsZero() || to.Before(from) {
		return 0
	}
	return to.Sub(from)
}
