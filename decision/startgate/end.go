package startgate

import (
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// taskEnded handles the end of a running task. If the minion is known not to
// have run the task, its record is removed, so that it may be dispatched again.
func (g *Gate) taskEnded(e TaskEnded) []Action {
	rec := g.records.get(e.Ref)
	if rec == nil || !rec.running() {
		return nil
	}
	g.running--
	finished := rec.run
	rec.run = nil
	end := g.finishRun(rec, finished, e)
	out := make([]Action, 0, 1+len(finished.waiters))
	for _, id := range append([]uint64{finished.id}, finished.waiters...) {
		end.ID = id
		out = append(out, end)
	}
	return out
}

// finishRun updates the record of a task that is no longer running and returns
// the End of its calls, without an ID.
func (g *Gate) finishRun(rec *record, finished *activeRun, e TaskEnded) End {
	switch e.Outcome {
	case EndDone:
		rec.done = true
		g.records.dropResult(finished.prior)
		g.records.keepResult(rec, e.Result)
		return End{Status: wire.RunDone, Result: e.Result, QueueWait: finished.queueWait}
	case EndNotRun:
		g.restorePrior(rec, finished.prior)
		return End{Status: wire.RunNotStarted, Reason: wire.ReasonMinionRefused}
	default:
		g.records.dropResult(finished.prior)
		return End{Status: wire.RunUnknown, QueueWait: finished.queueWait}
	}
}

// restorePrior undoes the start of a task: it removes the record and puts back
// the one of the previous attempt, if any.
func (g *Gate) restorePrior(rec, prior *record) {
	if prior != nil {
		g.records.put(prior)
		return
	}
	g.records.unlink(rec)
}

// attach adds the call to the waiters of a queued or running task, and ends it
// immediately if the task has ended. A task without a record was not started
// here, unless its record may have been dropped.
func (g *Gate) attach(e Attach) []Action {
	if task := g.findQueued(e.Ref); task != nil {
		task.waiters = append(task.waiters, e.ID)
		return nil
	}
	rec := g.records.get(e.Ref)
	if rec == nil {
		return []Action{g.attachWithoutRecord(e)}
	}
	if rec.running() {
		rec.run.waiters = append(rec.run.waiters, e.ID)
		return nil
	}
	return []Action{rec.attachEnd(e.ID)}
}

// attachWithoutRecord returns the End of a call for a task that has no record.
// The task is proved not started only if its key was created after the time
// since which the records are complete. KeySkew is subtracted because the
// creation time in the key may lie that far in the future.
func (g *Gate) attachWithoutRecord(e Attach) End {
	if e.Ref.Key.Created().Add(-model.KeySkew).After(g.records.completeSince) {
		return End{ID: e.ID, Status: wire.RunNotStarted}
	}
	return End{ID: e.ID, Status: wire.RunUnknown}
}
