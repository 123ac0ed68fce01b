package schedule

import (
	"slices"
	"time"

	"github.com/figring/figring/decision/execution"
	"github.com/figring/figring/work"
)

// minionRun is one run at work.
type minionRun struct {
	number int
	ends   time.Time
}

// minion runs tasks under a lease. What it did is judged by the world.
type minion struct {
	world    *world
	name     string
	born     int64
	downTill time.Time
	fence    int64
	lease    time.Time
	running  map[work.TaskKey]minionRun
	used     map[work.TaskKey]int
	finished []execution.FinishedRun
	sequence uint64
}

func newMinion(w *world, name string) *minion {
	return &minion{world: w, name: name, born: 1, running: make(map[work.TaskKey]minionRun), used: make(map[work.TaskKey]int)}
}

// crash ends the incarnation; the next one comes at the time.
func (m *minion) crash(until time.Time) {
	for task := range m.running {
		m.world.ended(task, m, 0)
	}
	m.born++
	m.downTill = until
	m.fence, m.sequence, m.lease = 0, 0, time.Time{}
	m.running = make(map[work.TaskKey]minionRun)
	m.used = make(map[work.TaskKey]int)
	m.finished = nil
}

// pass ends what is due.
func (m *minion) pass(now time.Time) {
	for task, run := range m.running {
		switch {
		case now.After(m.lease):
			m.finish(task, run, work.EndLapsed)
		case !run.ends.After(now):
			m.finish(task, run, work.EndDone)
		}
	}
}

func (m *minion) finish(task work.TaskKey, run minionRun, how work.End) {
	delete(m.running, task)
	m.sequence++
	m.finished = append(m.finished, execution.FinishedRun{Sequence: m.sequence, Task: task, Number: run.number, End: how})
	m.world.ended(task, m, how)
}

func (m *minion) start(now time.Time, order execution.Start) execution.StartOutcome {
	if order.Fence < m.fence {
		return execution.StartFenced
	}
	m.fence = order.Fence
	m.renew(now)
	if order.Number <= m.used[order.Task] {
		return execution.StartNumberUsed
	}
	m.used[order.Task] = order.Number
	m.running[order.Task] = minionRun{number: order.Number, ends: now.Add(m.world.lengths[order.Task.Job])}
	m.world.began(order.Task, m)
	return execution.Started
}

func (m *minion) stop(order execution.Stop) {
	if order.Fence < m.fence {
		return
	}
	m.used[order.Task] = max(m.used[order.Task], order.Number)
	if run, ok := m.running[order.Task]; ok && run.number == order.Number {
		m.finish(order.Task, run, work.EndStopped)
	}
}

func (m *minion) renew(now time.Time) {
	if until := now.Add(execution.Lease); until.After(m.lease) {
		m.lease = until
	}
}

// look returns the lists, or false when the fence is too low.
func (m *minion) look(fence int64, acked uint64) bool {
	if fence < m.fence {
		return false
	}
	m.fence = fence
	m.finished = slices.DeleteFunc(m.finished, func(end execution.FinishedRun) bool { return end.Sequence <= acked })
	return true
}

func (m *minion) list(look uint64, fence int64, now time.Time) execution.Listing {
	listing := execution.Listing{Poll: look, Fence: fence, Born: m.born, Finished: slices.Clone(m.finished)}
	for task, run := range m.running {
		listing.Running = append(listing.Running, execution.RunningRun{Task: task, Number: run.number, Percent: int(now.UnixMilli() / 10 % 100)})
	}
	return listing
}
