package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/figring/figring/manifest"
	"github.com/figring/figring/work"
)

const (
	// stepTime is the interval at which sidecars poll minions and entries poll
	// sidecars.
	stepTime = 10 * time.Millisecond
	// resubmitAfter is the time after which a caller with a broken connection
	// resubmits its job.
	resubmitAfter = 1300 * time.Millisecond
	entryCount    = 2
	sidecarCount  = 3
	// loggedEvents is the number of most recent events that a failure prints.
	loggedEvents = 200
)

var simulationStart = time.Unix(1000, 0)

// message is a message in transit and the time at which it arrives.
type message struct {
	at      time.Time
	deliver func(now time.Time)
}

// simulation holds the simulated processes, the links between them and the state of
// the callers.
type simulation struct {
	t         *testing.T
	random    *rand.Rand
	eventLog  []string
	now       time.Time
	faultFree bool
	// crashesByChance means that minions crash by chance.
	crashesByChance bool
	entries         []*entry
	sidecars        []*sidecar
	// linkDownUntil has the name of an entry followed by that of a sidecar as key.
	linkDownUntil map[string]time.Time
	messages      []message
	routes        []manifest.Route
	runTimes      map[work.JobID]time.Duration
	// deadly are the tasks under which a minion crashes.
	deadly     map[work.TaskKey]bool
	callers    []*caller
	lastWaiter uint64

	// kept follows stored tasks; nil without any.
	kept *keptRecord

	// runningAt is the minion at which a task runs.
	runningAt map[work.TaskKey]*minion
	started   map[work.JobID]bool
	succeeded map[work.TaskKey]bool
	// startCount counts the starts of each task.
	startCount map[work.TaskKey]int
	// mayFail are the jobs that may be answered as failed: those with a deadly task, and
	// where the faults include crashes by chance, those that looked deadly.
	mayFail map[work.JobID]bool
	// crashes counts the minions that have crashed under each task, startCrashes those of
	// them that did so soon after its start.
	crashes, startCrashes map[work.TaskKey]int
}

// routeName is the name of the only route of a simulation without routes of its own.
const routeName = "r"

func newSimulation(t *testing.T, seed uint64) *simulation {
	return newFleet(t, seed, entryCount, sidecarCount, []manifest.Route{{
		Name: routeName, Host: "h", Prefix: "/r/", Service: "desk", Attempts: 3, Stretch: 3, Objective: time.Second,
	}})
}

// newFleet returns a simulation with numbers of processes and routes of its own.
func newFleet(t *testing.T, seed uint64, entries, sidecars int, routes []manifest.Route) *simulation {
	sim := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), now: simulationStart, linkDownUntil: make(map[string]time.Time), routes: routes, runTimes: make(map[work.JobID]time.Duration),
		deadly:    make(map[work.TaskKey]bool),
		runningAt: make(map[work.TaskKey]*minion), started: make(map[work.JobID]bool), succeeded: make(map[work.TaskKey]bool),
		startCount: make(map[work.TaskKey]int), mayFail: make(map[work.JobID]bool), crashes: make(map[work.TaskKey]int), startCrashes: make(map[work.TaskKey]int),
	}
	for i := range sidecars {
		sim.sidecars = append(sim.sidecars, newSidecar(sim, fmt.Sprintf("s%d", i)))
	}
	for i := range entries {
		sim.entries = append(sim.entries, newEntry(sim, fmt.Sprintf("e%d", i)))
	}
	return sim
}

// drawInt returns a random number from low to high, both included.
func (sim *simulation) drawInt(low, high int) int { return low + sim.random.IntN(high-low+1) }

// logEvent adds a line to the log that a failure prints. The log is needed because a
// seed does not reproduce a run exactly: the cores iterate over maps, whose order
// does not depend on the seed.
func (sim *simulation) logEvent(format string, values ...any) {
	line := fmt.Sprintf(format, values...)
	sim.eventLog = append(sim.eventLog, fmt.Sprintf("%6d ms %s", sim.now.Sub(simulationStart).Milliseconds(), line))
}

// fail prints the most recent events and ends the test.
func (sim *simulation) fail(format string, values ...any) {
	sim.t.Helper()
	for _, line := range sim.eventLog[max(0, len(sim.eventLog)-loggedEvents):] {
		sim.t.Log(line)
	}
	sim.t.Fatalf(format, values...)
}

func (sim *simulation) sidecar(name string) *sidecar {
	index := slices.IndexFunc(sim.sidecars, func(s *sidecar) bool { return s.name == name })
	return sim.sidecars[index]
}

func (sim *simulation) connected(e *entry, s *sidecar) bool {
	return s.alive(sim.now) && !sim.now.Before(sim.linkDownUntil[e.name+s.name])
}

// losesMessage decides at random whether a message is lost.
func (sim *simulation) losesMessage() bool {
	return !sim.faultFree && sim.drawInt(0, 60) == 60
}

// messageDelay returns the random delay of a message.
func (sim *simulation) messageDelay() time.Duration {
	if sim.faultFree || sim.drawInt(0, 9) < 8 {
		return 0
	}
	return time.Duration(sim.drawInt(1, int(callTimeout.Milliseconds())-50)) * time.Millisecond
}

func (sim *simulation) deliverAfter(delay time.Duration, deliver func(time.Time)) {
	sim.messages = append(sim.messages, message{sim.now.Add(delay), deliver})
}

// taskStarted records the start of a task. It fails the test if the task is running
// already, if the minion exceeds its capacity or if the job was refused.
func (sim *simulation) taskStarted(task work.TaskKey, m *minion) {
	if other, running := sim.runningAt[task]; running {
		sim.fail("%v starts at %s while it runs at %s", task, m.name, other.name)
	}
	sim.logEvent("%v starts at %s", task, m.name)
	sim.runningAt[task] = m
	sim.startCount[task]++
	if sim.kept != nil {
		sim.kept.starts[task] = append(sim.kept.starts[task], sim.now)
	}
	sim.started[task.Job] = true
	if used := int64(len(m.running) * taskNeed); used > m.allowedRoom(sim.now) {
		sim.fail("%d of %d mCPU in use at %s", used, m.allowedRoom(sim.now), m.name)
	}
	for _, c := range sim.callers {
		if c.job == task.Job && c.finished && c.refusals == c.submissions {
			sim.fail("%v starts after its job was refused", task)
		}
	}
}

func (sim *simulation) taskEnded(task work.TaskKey, m *minion, how work.End) {
	sim.logEvent("%v ends at %s: %v", task, m.name, how)
	if sim.runningAt[task] == m {
		delete(sim.runningAt, task)
	}
	sim.succeeded[task] = sim.succeeded[task] || how == work.EndDone
}

const (
	// startCrashAge is the age up to which a run may be taken for the cause of a crash.
	startCrashAge = 250 * time.Millisecond
	// chanceCrashes and chanceStartCrashes are the numbers of crashes by chance that make
	// a task look deadly: of any kind, and soon after the task's start.
	chanceCrashes      = 4
	chanceStartCrashes = 2
)

// taskCrashed records that a minion crashed under a run of the task.
func (sim *simulation) taskCrashed(task work.TaskKey, age time.Duration) {
	sim.crashes[task]++
	if age <= startCrashAge {
		sim.startCrashes[task]++
	}
	if sim.crashes[task] >= chanceCrashes || sim.startCrashes[task] >= chanceStartCrashes {
		sim.mayFail[task.Job] = sim.mayFail[task.Job] || sim.crashesByChance
	}
}

var faultNames = [...]string{
	"link down", "sidecar restarts", "sidecar is frozen", "minion crashes", "entry restarts", "entry is frozen", "caller disconnects",
}

// injectFault injects a random fault of random duration.
func (sim *simulation) injectFault() {
	length := time.Duration(sim.drawInt(20, 2500)) * time.Millisecond
	until := sim.now.Add(length)
	e := sim.entries[sim.drawInt(0, len(sim.entries)-1)]
	s := sim.sidecars[sim.drawInt(0, len(sim.sidecars)-1)]
	kind := sim.drawInt(0, 6)
	sim.logEvent("%s for %v (%s, %s)", faultNames[kind], length, e.name, s.name)
	switch kind {
	case 0:
		sim.linkDownUntil[e.name+s.name] = until
	case 1:
		s.restart(sim.now.Add(length / 8))
	case 2:
		s.frozenUntil = until
	case 3:
		s.minion.crash(sim.now.Add(length / 4))
	case 4:
		sim.disconnectCallers(e)
		e.restart(sim.now.Add(length / 8))
	case 5:
		e.frozenUntil = until
	case 6:
		sim.disconnectOneCaller()
	}
}

// step advances the simulated time by stepTime and lets all processes act.
func (sim *simulation) step() {
	sim.now = sim.now.Add(stepTime)
	for _, s := range sim.sidecars {
		s.minion.endDueRuns(sim.now)
		s.minion.crashIfDue(sim.now)
	}
	sim.deliver()
	for _, s := range sim.sidecars {
		s.step(sim.now)
	}
	for _, e := range sim.entries {
		e.step(sim.now)
	}
	for _, s := range sim.sidecars {
		if s.alive(sim.now) {
			s.performActions(sim.now)
		}
	}
	sim.resubmit()
}

func (sim *simulation) deliver() {
	var due []message
	sim.messages = slices.DeleteFunc(sim.messages, func(m message) bool {
		if m.at.After(sim.now) {
			return false
		}
		due = append(due, m)
		return true
	})
	for _, m := range due {
		m.deliver(sim.now)
	}
}
