package startgate

import (
	"slices"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// advance hands back the queued tasks whose wait has expired and starts queued
// tasks in order while slots are free. The permit is checked here, at the
// moment of the start: a task without a live permit is skipped, and handed
// back if the permit is not renewed in time.
func (g *Gate) advance(now time.Time) []Action {
	out := g.expireQueued(now)
	for g.running < g.slots && g.state == wire.TargetReady {
		next := g.dequeueStartable(now)
		if next == nil {
			return out
		}
		out = append(out, g.start(next, now))
	}
	return out
}

// dequeueStartable removes and returns the first queued task whose permit is
// live, or nil.
func (g *Gate) dequeueStartable(now time.Time) *queuedTask {
	for i, task := range g.queue {
		if g.permits.Valid(task.Entry, now) {
			g.queue = slices.Delete(g.queue, i, i+1)
			return task
		}
	}
	return nil
}

// updatePermitLoss updates, for each queued task, the time since which its
// permit has not been live.
func (g *Gate) updatePermitLoss(now time.Time) {
	for _, task := range g.queue {
		switch {
		case g.permits.Valid(task.Entry, now):
			task.permitLostAt = time.Time{}
		case task.permitLostAt.IsZero():
			task.permitLostAt = now
		}
	}
}

func (g *Gate) expireQueued(now time.Time) []Action {
	g.updatePermitLoss(now)
	permitLost, _ := g.handBack(wire.ReasonNoPermit, func(task *queuedTask) bool {
		return !task.permitLostAt.IsZero() && !now.Before(task.permitWaitEnd())
	})
	pastDeadline, _ := g.handBack(wire.ReasonDeadline, func(task *queuedTask) bool {
		return !now.Before(task.Deadline)
	})
	timedOut, _ := g.handBack(wire.ReasonQueueTimeout, func(task *queuedTask) bool {
		return !now.Before(task.waitEnd())
	})
	return append(append(permitLost, pastDeadline...), timedOut...)
}

func (g *Gate) start(task *queuedTask, now time.Time) Action {
	wait := now.Sub(task.receivedAt)
	prior := g.records.get(task.Ref)
	attempt := 1
	if prior != nil {
		attempt = int(prior.attempt) + 1
	}
	g.records.add(&record{
		ref:     task.Ref,
		entry:   task.Entry,
		attempt: int32(attempt),
		run:     &activeRun{id: task.ID, queueWait: wait, waiters: task.waiters, prior: prior},
	}, now)
	g.running++
	return Start{
		ID:              task.ID,
		Ref:             task.Ref,
		Attempt:         attempt,
		Deadline:        task.Deadline,
		PermitRemaining: g.permits.Remaining(task.Entry, now),
		QueueWait:       wait,
	}
}

// handBack removes the matching tasks from the queue and ends their dispatches,
// and the calls attached to them, as not started. It also returns the number
// of tasks removed.
func (g *Gate) handBack(reason wire.NotStartedReason, match func(*queuedTask) bool) ([]Action, int) {
	var out []Action
	count := 0
	kept := make([]*queuedTask, 0, len(g.queue))
	for _, task := range g.queue {
		if !match(task) {
			kept = append(kept, task)
			continue
		}
		count++
		for _, id := range append([]uint64{task.ID}, task.waiters...) {
			out = append(out, End{ID: id, Status: wire.RunNotStarted, Reason: reason})
		}
	}
	g.queue = kept
	return out, count
}

func (g *Gate) withdraw(e Withdraw) []Action {
	selected := func(ref model.TaskRef) bool {
		return ref.Key == e.Key && includesIndex(e.Indexes, ref.Index)
	}
	out, count := g.handBack(wire.ReasonWithdrawn, func(task *queuedTask) bool { return selected(task.Ref) })
	answer := WithdrawResult{Withdrawn: count}
	for rec := g.records.byKey[e.Key]; rec != nil; rec = rec.next {
		if !selected(rec.ref) {
			continue
		}
		answer.Started++
		if rec.running() {
			answer.Running = append(answer.Running, rec.ref)
		}
	}
	return append(out, answer)
}

// includesIndex reports whether indexes contains index. Nil contains all.
func includesIndex(indexes []int, index int) bool {
	if indexes == nil {
		return true
	}
	for _, candidate := range indexes {
		if candidate == index {
			return true
		}
	}
	return false
}

func (g *Gate) revoke(e Revoke) []Action {
	g.permits.Revoke(e.Entry, e.BundleVersion)
	out, count := g.handBack(wire.ReasonNoPermit, func(task *queuedTask) bool { return task.Entry == e.Entry })
	return append(out, WithdrawResult{Withdrawn: count})
}
