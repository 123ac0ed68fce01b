package startgate

import (
	"time"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// record is what is kept of a task that was started.
type record struct {
	entry   model.Incarnation
	phase   wire.TaskPhase
	attempt int
	// serial numbers the starts, so that a place in an order of starts is not
	// taken for a later start of the same task.
	serial    uint64
	startedAt time.Time
	hasResult bool
	result    model.TaskResult
	// id is the dispatch that runs now, and waiters the calls that wait for
	// its end.
	id      uint64
	wait    time.Duration
	waiters []uint64
	// prior is the record of the attempt before, while a repeated one runs.
	// It comes back when the new attempt proves not to have run.
	prior *record
}

func (r *record) running() bool { return r.phase == wire.PhaseStarted }

// outcome returns the end of a call that asks for an ended task. A done task
// whose result was dropped can't be told from one that never answered.
func (r *record) outcome(id uint64) End {
	if r.phase == wire.PhaseDone && r.hasResult {
		return End{ID: id, Status: wire.RunDone, Result: r.result, Wait: r.wait}
	}
	return End{ID: id, Status: wire.RunUnknown}
}
