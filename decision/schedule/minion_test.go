package schedule

import (
	"slices"
	"time"

	"github.com/figring/figring/decision/execution"
	"github.com/figring/figring/work"
)

// activeRun is a run that has not ended.
type activeRun struct {
	number    int
	startedAt time.Time
	endsAt    time.Time
}

// minion simulates a minion that runs tasks under a lease. It reports the start and
// end of each run to the simulation, which checks them.
type minion struct {
	sim         *simulation
	name        string
	incarnation int64
	downUntil   time.Time
	fence       int64
	leaseUntil  time.Time
	running     map[work.TaskKey]activeRun
	// lastNumber is the highest run number started or stopped for each task.
	lastNumber map[work.TaskKey]int
	finished   []execution.FinishedRun
	sequence   uint64
	// capacity is the room in thousandths of a core, rooms its changes of the last
	// roomGrace. nextReport is when the minion next reports it to its sidecar.
	capacity   int64
	rooms      []roomChange
	nextReport time.Time
	// crashAt is when the minion crashes under a deadly task; zero if it does not.
	crashAt time.Time
	// failShare is the share of runs that fail, from 0 to 1.
	failShare float64
}

// roomChange is the room that a minion had until a time.
type roomChange struct {
	until    time.Time
	capacity int64
}

const (
	// reportInterval is the time between two reports of a minion about itself.
	reportInterval = 1500 * time.Millisecond
	// roomGrace is how long a start may count on room that has gone meanwhile: the users
	// allow 3 s and one report.
	roomGrace = 3*time.Second + reportInterval
)

// setCapacity changes the room of the minion while it runs.
func (m *minion) setCapacity(now time.Time, capacity int64) {
	m.rooms = append(m.rooms, roomChange{now, m.capacity})
	m.capacity = capacity
}

// allowedRoom returns the room that starts may count on.
func (m *minion) allowedRoom(now time.Time) int64 {
	allowed := m.capacity
	for _, old := range m.rooms {
		if now.Sub(old.until) <= roomGrace {
			allowed = max(allowed, old.capacity)
		}
	}
	return allowed
}

const (
	// deadlyDelay is the time from the start of a deadly task to the crash, deadlyPause
	// the time until the minion is back.
	deadlyDelay = 10 * time.Millisecond
	deadlyPause = 3300 * time.Millisecond
)

func newMinion(sim *simulation, name string) *minion {
	return &minion{sim: sim, name: name, incarnation: 1, capacity: minionCapacity, running: make(map[work.TaskKey]activeRun), lastNumber: make(map[work.TaskKey]int)}
}

// crash ends the incarnation and all its runs; the next one starts at the given
// time.
func (m *minion) crash(until time.Time) {
	for task, run := range m.running {
		m.sim.taskCrashed(task, m.sim.now.Sub(run.startedAt))
		m.sim.taskEnded(task, m, 0)
	}
	if m.sim.kept != nil {
		delete(m.sim.kept.unnoted, m)
	}
	m.incarnation++
	m.downUntil = until
	m.fence, m.sequence, m.leaseUntil = 0, 0, time.Time{}
	m.running = make(map[work.TaskKey]activeRun)
	m.lastNumber = make(map[work.TaskKey]int)
	m.finished = nil
	m.crashAt = time.Time{}
	m.nextReport = time.Time{}
}

// crashIfDue crashes the minion if a deadly task was started deadlyDelay ago.
func (m *minion) crashIfDue(now time.Time) {
	if !m.crashAt.IsZero() && !now.Before(m.crashAt) {
		m.sim.logEvent("%s crashes", m.name)
		m.crash(now.Add(deadlyPause))
	}
}

// endDueRuns ends the runs that have completed, and all runs once the lease has
// expired.
func (m *minion) endDueRuns(now time.Time) {
	if m.sim.kept != nil && now.After(m.leaseUntil) {
		m.sim.kept.lapsed(m)
	}
	for task, run := range m.running {
		switch {
		case now.After(m.leaseUntil):
			m.finish(task, run, work.EndLapsed)
		case run.endsAt.After(now):
		case m.failShare > 0 && m.sim.random.Float64() < m.failShare:
			m.finish(task, run, work.EndFailed)
		default:
			m.finish(task, run, work.EndDone)
		}
	}
}

func (m *minion) finish(task work.TaskKey, run activeRun, how work.End) {
	delete(m.running, task)
	m.sequence++
	end := execution.FinishedRun{Sequence: m.sequence, Task: task, Number: run.number, End: how}
	m.finished = append(m.finished, end)
	if m.sim.kept != nil {
		m.sim.kept.ended(m, end, m.sim.now)
	}
	m.sim.taskEnded(task, m, how)
}

func (m *minion) start(now time.Time, order execution.Start) execution.StartOutcome {
	if order.Fence < m.fence {
		return execution.StartFenced
	}
	m.fence = order.Fence
	m.renew(now)
	if order.Number <= m.lastNumber[order.Task] {
		return execution.StartNumberUsed
	}
	m.lastNumber[order.Task] = order.Number
	m.running[order.Task] = activeRun{number: order.Number, startedAt: now, endsAt: now.Add(m.sim.runTimes[order.Task.Job])}
	m.sim.taskStarted(order.Task, m)
	if m.sim.deadly[order.Task] && m.crashAt.IsZero() {
		m.crashAt = now.Add(deadlyDelay)
	}
	return execution.Started
}

func (m *minion) stop(order execution.Stop) {
	if order.Fence < m.fence {
		return
	}
	m.lastNumber[order.Task] = max(m.lastNumber[order.Task], order.Number)
	if run, ok := m.running[order.Task]; ok && run.number == order.Number {
		m.finish(order.Task, run, work.EndStopped)
	}
}

func (m *minion) renew(now time.Time) {
	if until := now.Add(execution.Lease); until.After(m.leaseUntil) {
		m.leaseUntil = until
	}
}

// acceptPoll drops the finished runs acknowledged by the sidecar. It returns false,
// and does nothing, when the fence is too low.
func (m *minion) acceptPoll(fence int64, acked uint64) bool {
	if fence < m.fence {
		return false
	}
	m.fence = fence
	if m.sim.kept != nil {
		m.sim.kept.acknowledged(m, acked)
	}
	m.finished = slices.DeleteFunc(m.finished, func(end execution.FinishedRun) bool { return end.Sequence <= acked })
	return true
}

func (m *minion) list(look uint64, fence int64, now time.Time) execution.Listing {
	listing := execution.Listing{Poll: look, Fence: fence, Born: m.incarnation, Finished: slices.Clone(m.finished)}
	for task, run := range m.running {
		listing.Running = append(listing.Running, execution.RunningRun{Task: task, Number: run.number, Percent: int(now.UnixMilli() / 10 % 100)})
	}
	return listing
}
