package execution

import (
	"time"

	"github.com/figring/figring/decision/interference"
	"github.com/figring/figring/session"
	"github.com/figring/figring/work"
)

// phase is the stage that a run has reached.
type phase int

const (
	// queued runs wait for capacity; nothing was sent to the minion.
	queued phase = iota
	// starting runs were sent to the minion, which has not answered yet.
	starting
	// unconfirmed runs were sent to the minion, which did not answer in time. They
	// may still start.
	unconfirmed
	// running runs are in progress as far as is known.
	running
	// stopping runs were ordered to stop and are not listed as ended yet.
	stopping
)

// run is one attempt to run a task on the minion.
type run struct {
	task  work.TaskKey
	entry string
	// route is the name of the job's route; empty for a run that was found at the
	// minion.
	route string
	spec  string
	need  work.Resources
	// needKnown is false for a run that was found at the minion and that no entry
	// has claimed yet.
	needKnown bool
	estimate  time.Duration
	// isolation says how the run is started among the others.
	isolation session.Isolation
	// label is a label that the minion must have; empty for none.
	label string
	// kind is the kind of the task; empty for a run that was found at the minion.
	kind string
	// presence is set while the run is in progress and interference is measured.
	presence *interference.Presence
	// jobStored means that the task's job is stored, so that an end must not be
	// lost.
	jobStored bool

	phase  phase
	number int
	// orderedAttempt is the attempt that the entry ordered, or 0 for a run that was found at
	// the minion. The number may be one of a later attempt.
	orderedAttempt int
	// epoch is that of the order, or session.UnknownEpoch for a run that was found at the
	// minion and that no entry has claimed.
	epoch session.Epoch
	// runNumberRetries counts the refused numbers of the present attempt.
	runNumberRetries int
	// queuedBy is the run's latest start time plus its queue delay; the queue is in
	// this order.
	queuedBy   time.Time
	queueUntil time.Time

	// inCrash means that the run is part of a recorded crash of the minion.
	inCrash bool
	// incarnation is the minion's incarnation that the start was sent to.
	incarnation int64
	// orderedAt is when the order arrived, startedAt when its start was sent and
	// answeredAt when the minion answered it. A run that was found at the minion was
	// started earlier than that.
	found      bool
	orderedAt  time.Time
	startedAt  time.Time
	answeredAt time.Time
	// firstPoll is the number of the first poll whose listing must show the run.
	firstPoll uint64
	// confirmFence is the lowest fence whose listing decides whether an unconfirmed
	// run has started.
	confirmFence int64

	// checkpoint is the checkpoint that the run resumed from, or the newest one
	// that it has saved since.
	checkpoint work.Checkpoint
	percent    int
	progressAt time.Time
	stopSentAt time.Time
	// stopEnd is the end to report if the run ends as stopped.
	stopEnd work.End
	// withdrawn means that no entry waits for the run.
	withdrawn bool
}

// holdsCapacity reports whether the run may be in progress or may still start.
func (r *run) holdsCapacity() bool { return r.phase != queued }

// stuckAfter returns the time without progress after which the run counts as
// stuck.
func (r *run) stuckAfter() time.Duration {
	return max(minStuckTime, time.Duration(float64(r.estimate)*stuckShare))
}

// inProgress reports whether the run is in progress as far as is known.
func (r *run) inProgress() bool { return r.phase == running || r.phase == stopping }

// foundRunAge is the least age assumed of a run that was found at the minion.
const foundRunAge = time.Second

// age returns the time since the start of the run.
func (r *run) age(now time.Time) time.Duration {
	age := now.Sub(r.startedAt)
	if r.found {
		return age + foundRunAge
	}
	return age
}

// waited returns the time from the order to the sending of the start.
func (r *run) waited() time.Duration { return elapsed(r.orderedAt, r.startedAt) }

// answered returns the time from the sending of the start to the minion's
// answer.
func (r *run) answered() time.Duration { return elapsed(r.startedAt, r.answeredAt) }

// elapsed returns the time from one moment to another, or 0 if one of them never
// came.
func elapsed(from, to time.Time) time.Duration {
	if from.IsZero() || to.Before(from) {
		return 0
	}
	return to.Sub(from)
}
