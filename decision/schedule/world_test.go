package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/figring/figring/decision/heldjob"
	"github.com/figring/figring/work"
)

const (
	// stepTime is the time between two looks and polls.
	stepTime = 10 * time.Millisecond
	// resubmitAfter is when a caller whose connection broke comes again.
	resubmitAfter = 1300 * time.Millisecond
	entryCount    = 2
	sidecarCount  = 3
	// storyLines is the number of lines that a failure prints.
	storyLines = 200
)

var worldStart = time.Unix(1000, 0)

// message arrives at a time.
type message struct {
	at      time.Time
	deliver func(now time.Time)
}

// caller waits for a job at an entry.
type caller struct {
	job    work.JobID
	tasks  int
	entry  *entry
	waiter uint64
	// refused counts the answers "not run", tries the submissions.
	refused, tries int
	comesAgain     time.Time
	completed      bool
	over           bool
}

// world is the processes, the links between them and what callers saw.
type world struct {
	t        *testing.T
	random   *rand.Rand
	story    []string
	now      time.Time
	calm     bool
	entries  []*entry
	sidecars []*sidecar
	cuts     map[string]time.Time
	messages []message
	lengths  map[work.JobID]time.Duration
	callers  []*caller
	waiters  uint64

	// at are the minions at which a task is at work.
	at    map[work.TaskKey]*minion
	begun map[work.JobID]bool
	done  map[work.TaskKey]bool
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), now: worldStart, cuts: make(map[string]time.Time), lengths: make(map[work.JobID]time.Duration),
		at: make(map[work.TaskKey]*minion), begun: make(map[work.JobID]bool), done: make(map[work.TaskKey]bool),
	}
	for i := range sidecarCount {
		w.sidecars = append(w.sidecars, newSidecar(w, fmt.Sprintf("s%d", i)))
	}
	for i := range entryCount {
		w.entries = append(w.entries, newEntry(w, fmt.Sprintf("e%d", i)))
	}
	return w
}

// draw returns a number from least to most.
func (w *world) draw(least, most int) int { return least + w.random.IntN(most-least+1) }

// tell adds a line to the story that a failure prints: the order in which the
// cores go through their maps is not drawn, so a seed does not repeat all of it.
func (w *world) tell(format string, values ...any) {
	line := fmt.Sprintf(format, values...)
	w.story = append(w.story, fmt.Sprintf("%6d ms %s", w.now.Sub(worldStart).Milliseconds(), line))
}

// fail ends the test with the newest part of the story.
func (w *world) fail(format string, values ...any) {
	w.t.Helper()
	for _, line := range w.story[max(0, len(w.story)-storyLines):] {
		w.t.Log(line)
	}
	w.t.Fatalf(format, values...)
}

func (w *world) sidecar(name string) *sidecar {
	at := slices.IndexFunc(w.sidecars, func(one *sidecar) bool { return one.name == name })
	return w.sidecars[at]
}

func (w *world) reaches(e *entry, s *sidecar) bool {
	return s.alive(w.now) && !w.now.Before(w.cuts[e.name+s.name])
}

// loses draws whether a message is lost.
func (w *world) loses() bool {
	return !w.calm && w.draw(0, 60) == 60
}

// delay draws how long a message takes.
func (w *world) delay() time.Duration {
	if w.calm || w.draw(0, 9) < 8 {
		return 0
	}
	return time.Duration(w.draw(1, int(callTimeout.Milliseconds())-50)) * time.Millisecond
}

func (w *world) after(delay time.Duration, deliver func(time.Time)) {
	w.messages = append(w.messages, message{w.now.Add(delay), deliver})
}

// began judges the start of a task.
func (w *world) began(task work.TaskKey, m *minion) {
	if other, running := w.at[task]; running {
		w.fail("%v begins at %s and is at work at %s", task, m.name, other.name)
	}
	w.tell("%v begins at %s", task, m.name)
	w.at[task] = m
	w.begun[task.Job] = true
	if used := len(m.running) * taskNeed; used > minionCapacity {
		w.fail("%d of %d in use at %s", used, minionCapacity, m.name)
	}
	for _, one := range w.callers {
		if one.job == task.Job && one.over && one.refused == one.tries {
			w.fail("%v begins after its job was refused", task)
		}
	}
}

func (w *world) ended(task work.TaskKey, m *minion, how work.End) {
	w.tell("%v ends at %s: %v", task, m.name, how)
	if w.at[task] == m {
		delete(w.at, task)
	}
	w.done[task] = w.done[task] || how == work.EndDone
}

// answered judges what a caller is told.
func (w *world) answered(reply heldjob.Reply) {
	at := slices.IndexFunc(w.callers, func(one *caller) bool { return one.waiter == reply.Waiter && !one.over })
	if at < 0 {
		return
	}
	one := w.callers[at]
	one.over = true
	w.tell("%s is answered: %v %v", one.job, reply.Answer.Outcome, reply.Answer.Reason)
	switch reply.Answer.Outcome {
	case heldjob.Completed:
		one.completed = true
		for index := range one.tasks {
			if !w.done[work.TaskKey{Job: one.job, Index: index}] {
				w.fail("%s is told as completed without an end of task %d", one.job, index)
			}
		}
	case heldjob.Refused:
		one.refused++
		if one.refused == one.tries && w.begun[one.job] {
			w.fail("%s is told as refused and has run", one.job)
		}
	case heldjob.Failed:
		w.fail("%s is told as failed", one.job)
	}
}

// submit lets a caller hand a new job in.
func (w *world) submit() {
	e := w.entries[w.draw(0, entryCount-1)]
	if !e.alive(w.now) {
		return
	}
	one := &caller{
		job:   work.JobID(fmt.Sprintf("j%d", len(w.callers))),
		tasks: w.draw(1, 4),
	}
	w.lengths[one.job] = time.Duration(w.draw(20, 900)) * time.Millisecond
	w.callers = append(w.callers, one)
	w.handIn(one, e)
}

func (w *world) handIn(one *caller, e *entry) {
	w.waiters++
	one.waiter = w.waiters
	one.entry = e
	one.tries++
	one.comesAgain = time.Time{}
	w.tell("%s of %d tasks of %v comes to %s", one.job, one.tasks, w.lengths[one.job], e.name)
	e.submit(w.now, one.waiter, one.job, one.tasks)
}

// breakConnections lets the callers of an entry come again later.
func (w *world) breakConnections(e *entry) {
	for _, one := range w.callers {
		if one.entry == e && !one.over && one.comesAgain.IsZero() {
			one.comesAgain = w.now.Add(resubmitAfter)
		}
	}
}

// hangUp breaks the connection of one caller; the entry learns of it.
func (w *world) hangUp() {
	for _, one := range w.callers {
		if !one.over && one.comesAgain.IsZero() && one.entry.alive(w.now) {
			one.comesAgain = w.now.Add(resubmitAfter)
			one.entry.core.CallerGone(one.job, one.waiter)
			one.entry.act(w.now)
			return
		}
	}
}

func (w *world) resubmit() {
	for _, one := range w.callers {
		if one.over || one.comesAgain.IsZero() || w.now.Before(one.comesAgain) {
			continue
		}
		e := w.entries[w.draw(0, entryCount-1)]
		if e.alive(w.now) {
			w.handIn(one, e)
		}
	}
}

var faultNames = [...]string{
	"cut", "sidecar restarts", "sidecar is frozen", "minion crashes", "entry restarts", "entry is frozen", "a caller hangs up",
}

// fault lets something go wrong.
func (w *world) fault() {
	length := time.Duration(w.draw(20, 2500)) * time.Millisecond
	until := w.now.Add(length)
	e := w.entries[w.draw(0, entryCount-1)]
	s := w.sidecars[w.draw(0, sidecarCount-1)]
	kind := w.draw(0, 6)
	w.tell("%s for %v (%s, %s)", faultNames[kind], length, e.name, s.name)
	switch kind {
	case 0:
		w.cuts[e.name+s.name] = until
	case 1:
		s.restart(w.now.Add(length / 8))
	case 2:
		s.frozenTill = until
	case 3:
		s.minion.crash(w.now.Add(length / 4))
	case 4:
		w.breakConnections(e)
		e.restart(w.now.Add(length / 8))
	case 5:
		e.frozenTill = until
	case 6:
		w.hangUp()
	}
}

// step lets a moment pass.
func (w *world) step() {
	w.now = w.now.Add(stepTime)
	for _, s := range w.sidecars {
		s.minion.pass(w.now)
	}
	w.deliver()
	for _, s := range w.sidecars {
		s.step(w.now)
	}
	for _, e := range w.entries {
		e.step(w.now)
	}
	for _, s := range w.sidecars {
		if s.alive(w.now) {
			s.act(w.now)
		}
	}
	w.resubmit()
}

func (w *world) deliver() {
	var due []message
	w.messages = slices.DeleteFunc(w.messages, func(one message) bool {
		if one.at.After(w.now) {
			return false
		}
		due = append(due, one)
		return true
	})
	for _, one := range due {
		one.deliver(w.now)
	}
}
