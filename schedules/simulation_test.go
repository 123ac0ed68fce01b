package schedules

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/figring/figring/decision/ownership"
	"github.com/figring/figring/decision/permit"
	"github.com/figring/figring/decision/startgate"
	"github.com/figring/figring/model"
	"github.com/figring/figring/store"
	"github.com/figring/figring/store/memory"
)

const (
	entryCount   = 3
	sidecarCount = 3
	keyCount     = 3
	tasksPerJob  = 2
	jobTimeout   = 20 * time.Second
)

var worldStart = time.Unix(1_800_000_000, 0)

// simulation is the simulation of one schedule: its processes, messages in transit and
// time.
type simulation struct {
	t        *rapid.T
	now      time.Time
	table    *tableService
	checker  *checker
	entries  []*entry
	sidecars []*sidecar
	bag      []message
	keys     []model.JobKey
	births   int
	// slow is the kind of message that is currently delayed.
	slow  string
	trace []traceLine
	// decoded caches the assignment at row version decodedVersion.
	decoded        ownership.Assignment
	decodedVersion int64
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, now: worldStart, table: &tableService{Table: memory.NewTable()}}
	w.checker = newChecker(w)
	for range entryCount {
		w.entries = append(w.entries, w.newEntry())
	}
	for i := range sidecarCount {
		w.sidecars = append(w.sidecars, w.newSidecar(fmt.Sprintf("s%d", i)))
	}
	for range 4 {
		w.calm(500 * time.Millisecond)
	}
	for i := range keyCount {
		w.keys = append(w.keys, w.newKey(byte(i)))
	}
	return w
}

func (w *simulation) newKey(number byte) model.JobKey {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: number}
	millis := w.now.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	return model.JobKey{Caller: "c", ID: id}
}

func (w *simulation) name(of string) model.Incarnation {
	w.births++
	return model.Incarnation(fmt.Sprintf("%s.%03d", of, w.births))
}

// newSidecar starts an incarnation that is not registered in the table yet.
func (w *simulation) newSidecar(name string) *sidecar {
	s := &sidecar{w: w, name: name, zone: "z" + name, self: w.name(name), calls: make(map[uint64]sidecarCall)}
	s.clock = w.drawClock()
	s.startedAt = s.now()
	s.permits = permit.NewSet()
	settings := startgate.Settings{Self: s.self, RecordLimit: recordLimit, ResultBytes: resultBytes}
	s.gate = startgate.New(settings, s.permits, s.now())
	return s
}

// sidecarRow is the value of a sidecar row.
type sidecarRow struct {
	Incarnation model.Incarnation
	First       bool
}

// register writes the sidecar row. The minion counts as ready only after that.
func (w *simulation) register(s *sidecar) {
	key := "sidecars/" + s.name
	w.readAt(s, func() any { return w.table.read(key) }, func(read any) {
		held := read.(store.Row)
		row := sidecarRow{Incarnation: s.self, First: held.Version == 0}
		if held.Version != 0 {
			if former := decode[sidecarRow](held.Value); former.Incarnation == s.self {
				s.registeredAs(former.First)
				return
			}
		}
		w.commit(s, "register sidecar", store.Txn{
			Conditions: []store.Condition{{Key: key, Version: held.Version}},
			Writes:     []store.Write{{Key: key, Value: encode(row)}},
		}, func(reply committed) {
			if reply.err == nil {
				s.registeredAs(row.First)
			}
		})
	})
}

func (s *sidecar) registeredAs(first bool) {
	if s.registered {
		return
	}
	s.registered = true
	s.first = first
	s.apply(startgate.MinionReady{Slots: slotsPerMinion})
}

// readAt reads from the table by messages. An outage gets no reply.
func (w *simulation) readAt(from process, read func() any, take func(any)) {
	w.readOr(from, func() {}, read, take)
}

// readOr is like readAt but calls failed when there is no reply.
func (w *simulation) readOr(from process, failed func(), read func() any, take func(any)) {
	w.post(message{to: w.table, what: "read", lost: failed, act: func() {
		if w.table.out {
			failed()
			return
		}
		found := read()
		w.post(message{to: from, what: "read reply", lost: failed, act: func() { take(found) }})
	}})
}

func (w *simulation) post(one message) {
	one.held = one.held || w.slow == one.what
	w.bag = append(w.bag, one)
}

// take removes a message from those in transit.
func (w *simulation) take(index int) message {
	one := w.bag[index]
	w.bag = slices.Delete(w.bag, index, index+1)
	return one
}

// deliver delivers a message. If its receiver has ended, the connection breaks.
func (w *simulation) deliver(index int) {
	one := w.take(index)
	w.note("deliver " + one.what)
	if !one.to.alive() {
		one.breakOff()
		return
	}
	one.act()
}

// settle delivers all messages in order, except delayed ones and those to paused
// processes.
func (w *simulation) settle() {
	for i := 0; i < len(w.bag); {
		if w.bag[i].held || !w.bag[i].to.awake() && w.bag[i].to.alive() {
			i++
			continue
		}
		w.deliver(i)
	}
}

// duties replaces entries that were fenced or have ended, and does the periodic
// work of every process that is not paused.
func (w *simulation) duties() {
	for index, one := range w.entries {
		if one.fenced || one.ended {
			w.entries[index] = w.newEntry()
			one = w.entries[index]
		}
		if !one.paused {
			one.duties()
		}
	}
	for _, one := range w.sidecars {
		if !one.paused {
			one.apply(startgate.Tick{})
			one.renew()
		}
	}
}

// calm advances the time, does the periodic work and delivers the messages.
func (w *simulation) calm(passed time.Duration) {
	w.now = w.now.Add(passed)
	w.duties()
	w.settle()
}

func (w *simulation) entryOf(incarnation model.Incarnation) *entry {
	for _, one := range w.entries {
		if one.self == incarnation {
			return one
		}
	}
	return nil
}

func (w *simulation) sidecarOf(incarnation model.Incarnation) *sidecar {
	for _, one := range w.sidecars {
		if one.self == incarnation {
			return one
		}
	}
	return nil
}

// noteCommit reports accepted claims and bundles to the invariant checks.
func (w *simulation) noteCommit(txn store.Txn, err error) {
	if err != nil {
		return
	}
	for _, write := range txn.Writes {
		switch {
		case strings.HasPrefix(write.Key, "claims/"):
			claim := decode[claimRow](write.Value)
			w.checker.claimed(turn{w.keys[claim.Number], claim.Adoptions}, claim.Claimer)
		case write.Key == bundleKey:
			w.noteBundle(decode[model.Bundle](write.Value))
		}
	}
}

// noteBundle records when each closing of a zone or target was accepted.
func (w *simulation) noteBundle(accepted model.Bundle) {
	if accepted.Version != w.checker.version+1 {
		w.checker.fail("BUNDLE: version %d was accepted after %d", accepted.Version, w.checker.version)
	}
	w.checker.version = accepted.Version
	closed := make(map[string]time.Time)
	for _, name := range append(accepted.ClosedZones, accepted.DrainedTargets...) {
		closed[name] = w.now
		if since, ok := w.checker.closed[name]; ok {
			closed[name] = since
		}
	}
	w.checker.closed = closed
}

// traceLine is one line of the trace of a schedule.
type traceLine struct {
	at   time.Duration
	what string
}

func (w *simulation) note(what string) {
	w.trace = append(w.trace, traceLine{at: w.now.Sub(worldStart), what: what})
}
