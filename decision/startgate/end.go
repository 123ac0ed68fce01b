package startgate

import (
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// ended takes the end of a running task. A task that the minion provably did
// not run loses its record, so that it may be dispatched again.
func (g *Gate) ended(e TaskEnded, now time.Time) []Action {
	held := g.records.byRef[e.Ref]
	if held == nil || !held.running() {
		return nil
	}
	g.running--
	calls := append([]uint64{held.id}, held.waiters...)
	held.waiters = nil
	end := g.settle(held, e, now)
	out := make([]Action, 0, len(calls))
	for _, id := range calls {
		end.ID = id
		out = append(out, end)
	}
	return out
}

func (g *Gate) settle(held *record, e TaskEnded, now time.Time) End {
	switch e.Outcome {
	case EndDone:
		held.phase = wire.PhaseDone
		g.forgetPrior(held)
		g.records.keepResult(e.Ref, held, e.Result, now)
		return End{Status: wire.RunDone, Result: e.Result, Wait: held.wait}
	case EndNotRun:
		g.undo(e.Ref, held)
		return End{Status: wire.RunNotStarted, Reason: wire.ReasonMinionRefused}
	default:
		held.phase = wire.PhaseUnknown
		g.forgetPrior(held)
		return End{Status: wire.RunUnknown, Wait: held.wait}
	}
}

// undo puts the record back that was there before the start.
func (g *Gate) undo(ref model.TaskRef, held *record) {
	if held.prior == nil {
		g.records.remove(ref)
		return
	}
	g.records.restore(ref, held.prior)
}

func (g *Gate) forgetPrior(held *record) {
	g.records.dropResult(held.prior)
	held.prior = nil
}

// attach joins a call to a task that is queued or runs, and answers at once
// for one that has ended. Without a record the task was not started here,
// unless its record may have been dropped.
func (g *Gate) attach(e Attach) []Action {
	if one := g.find(e.Ref); one != nil {
		one.waiters = append(one.waiters, e.ID)
		return nil
	}
	held := g.records.byRef[e.Ref]
	if held == nil {
		return []Action{g.absent(e)}
	}
	if held.running() {
		held.waiters = append(held.waiters, e.ID)
		return nil
	}
	return []Action{held.outcome(e.ID)}
}

func (g *Gate) absent(e Attach) End {
	if e.Ref.Key.Created().Add(-model.KeySkew).After(g.records.since) {
		return End{ID: e.ID, Status: wire.RunNotStarted}
	}
	return End{ID: e.ID, Status: wire.RunUnknown}
}
