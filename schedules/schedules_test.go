package schedules

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figring/figring/decision/bundle"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
)

const (
	minSteps = 30
	maxSteps = 60
)

// step is one kind of action in a schedule.
type step struct {
	name string
	do   func(*simulation)
}

var steps = []step{
	{"advance", (*simulation).stepCalm},
	{"advance", (*simulation).stepCalm},
	{"advance", (*simulation).stepCalm},
	{"advance", (*simulation).stepCalm},
	{"advance without delivery", (*simulation).stepPass},
	{"submit", (*simulation).stepSubmit},
	{"submit to owner", (*simulation).stepSubmitToOwner},
	{"submit to owner", (*simulation).stepSubmitToOwner},
	{"submit to owner", (*simulation).stepSubmitToOwner},
	{"deliver", (*simulation).stepDeliver},
	{"deliver", (*simulation).stepDeliver},
	{"deliver", (*simulation).stepDeliver},
	{"deliver", (*simulation).stepDeliver},
	{"delay", (*simulation).stepSlow},
	{"delay", (*simulation).stepSlow},
	{"orphan", (*simulation).stepOrphan},
	{"orphan", (*simulation).stepOrphan},
	{"release delayed", (*simulation).stepThaw},
	{"drop", (*simulation).stepDrop},
	{"break connection", (*simulation).stepLose},
	{"duplicate", (*simulation).stepDouble},
	{"finish", (*simulation).stepFinish},
	{"finish", (*simulation).stepFinish},
	{"pause", (*simulation).stepPause},
	{"resume", (*simulation).stepResume},
	{"end entry", (*simulation).stepEndEntry},
	{"end sidecar", (*simulation).stepEndSidecar},
	{"outage", (*simulation).stepOutage},
	{"edit bundle", (*simulation).stepOperate},
	{"cancel", (*simulation).stepCancel},
	{"leave", (*simulation).stepLeave},
	{"expire leases", (*simulation).stepLapse},
}

// TestSchedules runs random schedules and checks the invariants on starts, answers
// and accepted commits.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		defer w.tell()
		for range rapid.IntRange(minSteps, maxSteps).Draw(t, "steps") {
			one := rapid.SampledFrom(steps).Draw(t, "step")
			w.note("step " + one.name)
			one.do(w)
		}
	})
}

func (w *simulation) draw(limit int, what string) int {
	return rapid.IntRange(0, limit-1).Draw(w.t, what)
}

func (w *simulation) drawEntry() *entry { return w.entries[w.draw(len(w.entries), "entry")] }

func (w *simulation) drawTime() time.Duration {
	return rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 400 * time.Millisecond, time.Second}).Draw(w.t, "passed")
}

func (w *simulation) stepCalm() { w.calm(w.drawTime()) }

// stepPass advances the time and does the periodic work, but delivers no message.
func (w *simulation) stepPass() {
	w.now = w.now.Add(w.drawTime())
	w.duties()
}

// stepLapse lets the leases of paused entries expire while the others continue.
func (w *simulation) stepLapse() {
	for range 6 {
		w.calm(900 * time.Millisecond)
	}
}

func (w *simulation) stepSubmit() {
	w.submit(w.keys[w.draw(len(w.keys), "key")], w.drawEntry())
}

// stepSubmitToOwner submits a key to the entry that owns its partition.
func (w *simulation) stepSubmitToOwner() {
	key := w.keys[w.draw(len(w.keys), "key")]
	assigned := w.decodeAssignment(w.table.read(assignmentKey))
	if to := w.entryOf(assigned.Partitions[key.Partition()].Owner); to != nil {
		w.submit(key, to)
	}
}

func (w *simulation) submit(key model.JobKey, to *entry) {
	w.checker.submitted(key)
	end := once(func(got *answer) {
		if got.terminal != nil {
			w.checker.answered(got.terminal, got.by, got.underLease)
		} else {
			w.checker.refused(key, got.refusal.Outcome)
		}
		w.checker.open[key]--
	})
	w.post(message{to: to, what: "submit", act: func() { to.submit(key, end) }})
}

// lateKinds lists the kinds of messages that a schedule may delay.
var lateKinds = []string{"run", "run", "run", "start", "claim", "permit", "renew", "renew session", "assignment", "read reply", "run reply done", "submit"}

// stepSlow delays one kind of message from now on.
func (w *simulation) stepSlow() {
	w.slow = rapid.SampledFrom(lateKinds).Draw(w.t, "slow")
	w.note("delay " + w.slow)
}

// stepThaw releases all delayed messages.
func (w *simulation) stepThaw() {
	w.slow = ""
	for index := range w.bag {
		w.bag[index].held = false
	}
}

func (w *simulation) stepDeliver() {
	if index, ok := w.drawMessage(); ok {
		w.deliver(index)
	}
}

// drawMessage draws a message whose receiver is not paused or has ended.
func (w *simulation) drawMessage() (int, bool) {
	var able []int
	for index, one := range w.bag {
		if one.to.awake() || !one.to.alive() {
			able = append(able, index)
		}
	}
	if len(able) == 0 {
		return 0, false
	}
	return able[w.draw(len(able), "message")], true
}

// stepDrop drops a message and breaks its connection.
func (w *simulation) stepDrop() {
	if len(w.bag) == 0 {
		return
	}
	one := w.take(w.draw(len(w.bag), "dropped"))
	w.note("drop " + one.what)
	one.breakOff()
}

// stepLose breaks the connection of a message that still arrives.
func (w *simulation) stepLose() {
	if len(w.bag) == 0 {
		return
	}
	index := w.draw(len(w.bag), "lost")
	lost := w.bag[index].lost
	w.bag[index].lost = nil
	w.note("break connection of " + w.bag[index].what)
	if lost != nil {
		lost()
	}
}

// stepDouble duplicates a message in transit. A start is never duplicated.
func (w *simulation) stepDouble() {
	if len(w.bag) == 0 {
		return
	}
	copied := w.bag[w.draw(len(w.bag), "doubled")]
	if copied.what == "start" {
		return
	}
	w.note("duplicate " + copied.what)
	w.post(copied)
}

func (w *simulation) stepFinish() {
	for _, one := range w.sidecars {
		if len(one.running) > 0 && !one.paused {
			answered := w.draw(8, "answered") > 0
			w.note("finish at " + string(one.self))
			one.finish(w.draw(len(one.running), "running"), answered)
			return
		}
	}
}

func (w *simulation) stepPause() {
	if w.draw(2, "kind") == 0 {
		w.drawEntry().paused = true
		return
	}
	w.sidecars[w.draw(len(w.sidecars), "sidecar")].paused = true
}

func (w *simulation) stepResume() {
	for _, one := range w.entries {
		one.paused = false
	}
	for _, one := range w.sidecars {
		one.paused = false
	}
}

// stepEndEntry ends an entry and starts a new incarnation in its place.
func (w *simulation) stepEndEntry() {
	index := w.draw(len(w.entries), "entry")
	w.note("end " + string(w.entries[index].self))
	w.entries[index].ended = true
	w.entries[index] = w.newEntry()
}

// stepEndSidecar ends a sidecar with its minion and starts a new incarnation under
// its name.
func (w *simulation) stepEndSidecar() {
	index := w.draw(len(w.sidecars), "sidecar")
	w.note("end " + string(w.sidecars[index].self))
	w.sidecars[index].ended = true
	w.sidecars[index] = w.newSidecar(w.sidecars[index].name)
}

func (w *simulation) stepOutage() { w.table.out = !w.table.out }

func (w *simulation) stepCancel() {
	key := w.keys[w.draw(len(w.keys), "key")]
	to := w.drawEntry()
	w.post(message{to: to, what: "cancel", act: func() { to.cancelled(key) }})
}

// stepLeave makes an entry hand over its partitions. An entry that is already
// leaving closes its session once it has nothing left.
func (w *simulation) stepLeave() {
	one := w.drawEntry()
	if one.members.leaving && !one.paused {
		one.close()
	}
	one.members.leaving = true
}

// stepOperate makes one operator's edit of the bundle, on condition that the
// version which the operator read is still current.
func (w *simulation) stepOperate() {
	at := w.sidecars[w.draw(len(w.sidecars), "sidecar")]
	edits := []bundle.Edit{
		bundle.CloseZone{Zone: at.zone}, bundle.OpenZone{Zone: at.zone},
		bundle.DrainTarget{Target: at.name}, bundle.UndrainTarget{Target: at.name},
	}
	edit := edits[w.draw(len(edits), "edit")]
	w.readAt(w.table, func() any { return w.table.read(bundleKey) }, func(read any) {
		row := read.(store.Row)
		current := model.Bundle{}
		if row.Version != 0 {
			current = decode[model.Bundle](row.Value)
		}
		next, changed, err := bundle.ApplyEdit(current, edit, bundle.Rules{Zones: []string{at.zone, "zs0", "zs1", "zs2"}})
		if err != nil || !changed {
			return
		}
		w.commit(w.table, "bundle", store.Txn{
			Conditions: []store.Condition{{Key: bundleKey, Version: row.Version}},
			Writes:     []store.Write{{Key: bundleKey, Value: encode(next)}},
		}, func(committed) {})
	})
}

// put writes a row unconditionally.
func (w *simulation) put(key string, value []byte) {
	_, err := w.table.Commit(context.Background(), store.Txn{Writes: []store.Write{{Key: key, Value: value}}})
	if err != nil {
		panic(err)
	}
}

// tell logs the trace of a failed schedule.
func (w *simulation) tell() {
	if w.t.Failed() {
		for _, line := range w.trace {
			w.t.Log(line.at, line.what)
		}
	}
}
