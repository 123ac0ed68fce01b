package execution

import (
	"slices"
	"time"

	"github.com/figring/figring/work"
)

// lateMinion is a minion whose orders are answered, lost, or carried out late.
// It guards nothing: the test judges what it runs.
type lateMinion struct {
	now      time.Time
	fence    int64
	lease    time.Time
	running  map[work.TaskKey]*lateRun
	used     map[work.TaskKey]int
	finished []FinishedRun
	next     uint64
	begun    int
}

type lateRun struct {
	number int
	ends   time.Time
}

func (m *lateMinion) start(order Start, lease time.Time) StartOutcome {
	if order.Fence < m.fence {
		return StartFenced
	}
	m.fence = order.Fence
	m.renew(lease)
	if run, ok := m.running[order.Task]; ok && run.number == order.Number {
		return Started
	}
	if order.Number <= m.used[order.Task] {
		return StartNumberUsed
	}
	if lease.Before(m.now) {
		return StartLate
	}
	m.used[order.Task] = order.Number
	m.running[order.Task] = &lateRun{order.Number, m.now.Add(100 * time.Millisecond)}
	m.begun++
	return Started
}

func (m *lateMinion) stop(order Stop) {
	if order.Fence < m.fence {
		return
	}
	m.fence = order.Fence
	m.used[order.Task] = max(m.used[order.Task], order.Number)
	if run, ok := m.running[order.Task]; ok && run.number == order.Number {
		m.finish(order.Task, work.EndStopped)
	}
}

func (m *lateMinion) renew(until time.Time) {
	if until.After(m.lease) {
		m.lease = until
	}
}

func (m *lateMinion) finish(task work.TaskKey, how work.End) {
	m.next++
	m.finished = append(m.finished, FinishedRun{Sequence: m.next, Task: task, Number: m.running[task].number, End: how})
	delete(m.running, task)
}

func (m *lateMinion) pass(until time.Time) {
	m.now = until
	for task, run := range m.running {
		if !run.ends.After(m.now) {
			m.finish(task, work.EndDone)
		} else if m.lease.Before(m.now) {
			m.finish(task, work.EndLapsed)
		}
	}
}

// look takes a look in, and reports whether its fence was high enough.
func (m *lateMinion) look(fence int64, acked uint64) bool {
	if fence < m.fence {
		return false
	}
	m.fence = fence
	m.finished = slices.DeleteFunc(m.finished, func(run FinishedRun) bool { return run.Sequence <= acked })
	return true
}

// list answers a look, maybe long after it came in.
func (m *lateMinion) list(number uint64, fence int64) Listing {
	listing := Listing{Poll: number, Fence: fence, Born: testBorn, Finished: slices.Clone(m.finished)}
	for task, run := range m.running {
		listing.Running = append(listing.Running, RunningRun{Task: task, Number: run.number})
	}
	return listing
}
