package startgate

import (
	"slices"
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// advance ends the waits that are over and starts queued tasks in order while
// slots are free. The permit is checked here, at the step of the start: a task
// whose permit is not live is passed over, and handed back when the permit is
// not renewed in time.
func (g *Gate) advance(now time.Time) []Action {
	out := g.expire(now)
	for g.running < g.slots && g.state == wire.TargetReady {
		next := g.next(now)
		if next == nil {
			return out
		}
		out = append(out, g.start(next, now))
	}
	return out
}

// next takes the first task out of the queue that may be started now.
func (g *Gate) next(now time.Time) *queued {
	for at, one := range g.queue {
		if g.permits.Valid(one.Entry, now) {
			g.queue = slices.Delete(g.queue, at, at+1)
			return one
		}
	}
	return nil
}

// noteLapses notes for each queued task since when its permit is missing.
func (g *Gate) noteLapses(now time.Time) {
	for _, one := range g.queue {
		switch {
		case g.permits.Valid(one.Entry, now):
			one.lapsed = time.Time{}
		case one.lapsed.IsZero():
			one.lapsed = now
		}
	}
}

func (g *Gate) expire(now time.Time) []Action {
	g.noteLapses(now)
	lapsed, _ := g.handBack(wire.ReasonNoPermit, func(one *queued) bool {
		return !one.lapsed.IsZero() && !now.Before(one.permitEnd())
	})
	late, _ := g.handBack(wire.ReasonDeadline, func(one *queued) bool {
		return !now.Before(one.Deadline)
	})
	waited, _ := g.handBack(wire.ReasonQueueTimeout, func(one *queued) bool {
		return !now.Before(one.end())
	})
	return append(append(lapsed, late...), waited...)
}

func (g *Gate) start(one *queued, now time.Time) Action {
	wait := now.Sub(one.received)
	prior := g.records.get(one.Ref)
	attempt := 1
	if prior != nil {
		attempt = int(prior.attempt) + 1
	}
	g.records.started(&record{
		ref:     one.Ref,
		entry:   one.Entry,
		attempt: int32(attempt),
		run:     &run{id: one.ID, wait: wait, waiters: one.waiters, prior: prior},
	}, now)
	g.running++
	return Start{
		ID:       one.ID,
		Ref:      one.Ref,
		Attempt:  attempt,
		Deadline: one.Deadline,
		Permit:   g.permits.Remaining(one.Entry, now),
		Wait:     wait,
	}
}

// handBack ends the queued dispatches that match, and whoever attached to
// them, as not started.
func (g *Gate) handBack(reason wire.NotStartedReason, match func(*queued) bool) ([]Action, int) {
	var out []Action
	count := 0
	kept := make([]*queued, 0, len(g.queue))
	for _, one := range g.queue {
		if !match(one) {
			kept = append(kept, one)
			continue
		}
		count++
		for _, id := range append([]uint64{one.ID}, one.waiters...) {
			out = append(out, End{ID: id, Status: wire.RunNotStarted, Reason: reason})
		}
	}
	g.queue = kept
	return out, count
}

func (g *Gate) withdraw(e Withdraw) []Action {
	wanted := func(ref model.TaskRef) bool {
		return ref.Key == e.Key && listed(e.Indexes, ref.Index)
	}
	out, count := g.handBack(wire.ReasonWithdrawn, func(one *queued) bool { return wanted(one.Ref) })
	answer := Withdrawn{Withdrawn: count}
	for held := g.records.byKey[e.Key]; held != nil; held = held.next {
		if !wanted(held.ref) {
			continue
		}
		answer.Started++
		if held.running() {
			answer.Running = append(answer.Running, held.ref)
		}
	}
	return append(out, answer)
}

func listed(indexes []int, index int) bool {
	if indexes == nil {
		return true
	}
	for _, one := range indexes {
		if one == index {
			return true
		}
	}
	return false
}

func (g *Gate) revoke(e Revoke) []Action {
	g.permits.Revoke(e.Entry, e.BundleVersion)
	out, count := g.handBack(wire.ReasonNoPermit, func(one *queued) bool { return one.Entry == e.Entry })
	return append(out, Withdrawn{Withdrawn: count})
}
