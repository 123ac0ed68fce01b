package execution

import (
	"slices"
	"time"

	"github.com/figring/figring/work"
)

// faultyMinion is a minion whose calls are answered, lost, or carried out late.
// It enforces no capacity; the test checks what it runs.
type faultyMinion struct {
	now            time.Time
	fence          int64
	lease          time.Time
	running        map[work.TaskKey]*faultyRun
	usedNumbers    map[work.TaskKey]int
	finished       []FinishedRun
	newestSequence uint64
	startCount     int
}

type faultyRun struct {
	number int
	endsAt time.Time
}

func (m *faultyMinion) start(order Start, lease time.Time) StartOutcome {
	if order.Fence < m.fence {
		return StartFenced
	}
	m.fence = order.Fence
	m.renew(lease)
	if run, ok := m.running[order.Task]; ok && run.number == order.Number {
		return Started
	}
	if order.Number <= m.usedNumbers[order.Task] {
		return StartNumberUsed
	}
	if lease.Before(m.now) {
		return StartLate
	}
	m.usedNumbers[order.Task] = order.Number
	m.running[order.Task] = &faultyRun{order.Number, m.now.Add(100 * time.Millisecond)}
	m.startCount++
	return Started
}

func (m *faultyMinion) stop(order Stop) {
	if order.Fence < m.fence {
		return
	}
	m.fence = order.Fence
	m.usedNumbers[order.Task] = max(m.usedNumbers[order.Task], order.Number)
	if run, ok := m.running[order.Task]; ok && run.number == order.Number {
		m.finish(order.Task, work.EndStopped)
	}
}

func (m *faultyMinion) renew(until time.Time) {
	if until.After(m.lease) {
		m.lease = until
	}
}

func (m *faultyMinion) finish(task work.TaskKey, how work.End) {
	m.newestSequence++
	m.finished = append(m.finished, FinishedRun{Sequence: m.newestSequence, Task: task, Number: m.running[task].number, End: how})
	delete(m.running, task)
}

func (m *faultyMinion) advance(until time.Time) {
	m.now = until
	for task, run := range m.running {
		if !run.endsAt.After(m.now) {
			m.finish(task, work.EndDone)
		} else if m.lease.Before(m.now) {
			m.finish(task, work.EndLapsed)
		}
	}
}

// poll receives a poll and reports whether its fence was high enough.
func (m *faultyMinion) poll(fence int64, acked uint64) bool {
	if fence < m.fence {
		return false
	}
	m.fence = fence
	m.finished = slices.DeleteFunc(m.finished, func(run FinishedRun) bool { return run.Sequence <= acked })
	return true
}

// list answers a poll, maybe long after it was received.
func (m *faultyMinion) list(number uint64, fence int64) Listing {
	listing := Listing{Poll: number, Fence: fence, Born: testBorn, Finished: slices.Clone(m.finished)}
	for task, run := range m.running {
		listing.Running = append(listing.Running, RunningRun{Task: task, Number: run.number})
	}
	return listing
}
