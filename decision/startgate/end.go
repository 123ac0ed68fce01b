package startgate

import (
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// ended takes the end of a running task. A task that the minion provably did
// not run loses its record, so that it may be dispatched again.
func (g *Gate) ended(e TaskEnded) []Action {
	held := g.records.get(e.Ref)
	if held == nil || !held.running() {
		return nil
	}
	g.running--
	was := held.run
	held.run = nil
	end := g.settle(held, was, e)
	out := make([]Action, 0, 1+len(was.waiters))
	for _, id := range append([]uint64{was.id}, was.waiters...) {
		end.ID = id
		out = append(out, end)
	}
	return out
}

func (g *Gate) settle(held *record, was *run, e TaskEnded) End {
	switch e.Outcome {
	case EndDone:
		held.done = true
		g.records.dropResult(was.prior)
		g.records.keepResult(held, e.Result)
		return End{Status: wire.RunDone, Result: e.Result, QueueWait: was.wait}
	case EndNotRun:
		g.undo(held, was.prior)
		return End{Status: wire.RunNotStarted, Reason: wire.ReasonMinionRefused}
	default:
		g.records.dropResult(was.prior)
		return End{Status: wire.RunUnknown, QueueWait: was.wait}
	}
}

// undo puts the record back that was there before the start.
func (g *Gate) undo(held, prior *record) {
	if prior != nil {
		g.records.put(prior)
		return
	}
	g.records.unlink(held)
}

// attach joins a call to a task that is queued or runs, and answers at once
// for one that has ended. Without a record the task was not started here,
// unless its record may have been dropped.
func (g *Gate) attach(e Attach) []Action {
	if one := g.find(e.Ref); one != nil {
		one.waiters = append(one.waiters, e.ID)
		return nil
	}
	held := g.records.get(e.Ref)
	if held == nil {
		return []Action{g.absent(e)}
	}
	if held.running() {
		held.run.waiters = append(held.run.waiters, e.ID)
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
