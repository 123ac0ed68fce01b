package startgate

import (
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/figring/figring/decision/permit"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

const (
	self     = model.Incarnation("s.1")
	maxSlots = 3
)

var (
	origin  = time.Unix(1_700_000_000, 0)
	entries = []model.Incarnation{"e.1", "f.1"}
)

// keyAt returns a key created at the time.
func keyAt(at time.Time, last byte) model.JobKey {
	var id uuid.UUID
	millis := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, last
	return model.JobKey{Caller: "desk", ID: id}
}

// judge drives a gate with random events and checks every action against a
// model of its own: what runs, what was started, and which calls are open. Its
// permits are bounds that it computes from the send times it saw.
type judge struct {
	gate    *Gate
	permits *permit.Set
	now     time.Time
	slots   int
	lastID  uint64
	open    map[uint64]bool
	starts  map[model.TaskRef]int
	running map[model.TaskRef]bool
	// order lists what runs in the order of starts.
	order   []model.TaskRef
	repeat  map[uint64]bool
	numbers map[model.Incarnation]uint64
	sent    map[uint64]time.Time
	expiry  map[model.Incarnation]time.Time
	owner   map[uint64]model.Incarnation
	bundle  int64
	highest int64
	closed  bool
}

func newJudge() *judge {
	permits := permit.NewSet()
	settings := Settings{Self: self, RecordLimit: 1000, ResultBytes: 64}
	return &judge{
		gate:    New(settings, permits, origin),
		permits: permits,
		now:     origin,
		open:    make(map[uint64]bool),
		starts:  make(map[model.TaskRef]int),
		running: make(map[model.TaskRef]bool),
		repeat:  make(map[uint64]bool),
		numbers: make(map[model.Incarnation]uint64),
		sent:    make(map[uint64]time.Time),
		expiry:  make(map[model.Incarnation]time.Time),
		owner:   make(map[uint64]model.Incarnation),
		bundle:  1,
	}
}

func (j *judge) apply(t *rapid.T, event Event) {
	for _, one := range j.gate.Apply(event, j.now) {
		switch action := one.(type) {
		case Start:
			j.started(t, action)
		case End:
			if !j.open[action.ID] {
				t.Fatalf("call %d ended twice or never came", action.ID)
			}
			delete(j.open, action.ID)
		}
	}
	if len(j.running) != j.gate.Running() {
		t.Fatalf("gate counts %d running, want %d", j.gate.Running(), len(j.running))
	}
}

func (j *judge) started(t *rapid.T, action Start) {
	if j.running[action.Ref] {
		t.Fatalf("%v runs twice at a time", action.Ref)
	}
	if j.starts[action.Ref] > 0 && !j.repeat[action.ID] {
		t.Fatalf("%v started again", action.Ref)
	}
	if !j.now.Before(j.expiry[j.owner[action.ID]]) {
		t.Fatalf("%v started without a permit", action.Ref)
	}
	if j.closed {
		t.Fatalf("%v started by a gate that takes no work", action.Ref)
	}
	j.starts[action.Ref]++
	j.running[action.Ref] = true
	j.order = append(j.order, action.Ref)
	if len(j.running) > j.slots {
		t.Fatalf("%d run on %d slots", len(j.running), j.slots)
	}
}

func (j *judge) call(owner model.Incarnation) uint64 {
	j.lastID++
	j.open[j.lastID] = true
	j.owner[j.lastID] = owner
	return j.lastID
}

func (j *judge) ref(t *rapid.T) model.TaskRef {
	key := keyAt(origin.Add(time.Hour), byte(rapid.IntRange(0, 1).Draw(t, "key")))
	return model.TaskRef{Key: key, Index: rapid.IntRange(0, 2).Draw(t, "index")}
}

// grant draws a permit from entry and keeps the latest end that it may have.
func (j *judge) grant(t *rapid.T, entry model.Incarnation) wire.Permit {
	ttl := time.Duration(rapid.SampledFrom([]int{0, 100, 1000}).Draw(t, "ttl")) * time.Millisecond
	given := wire.Permit{Echo: j.numbers[entry], TTL: ttl, BundleVersion: j.bundle}
	if rapid.IntRange(0, 4).Draw(t, "old bundle") == 0 {
		given.BundleVersion--
	}
	if given.BundleVersion < j.highest {
		return given
	}
	j.highest = given.BundleVersion
	if given.Echo == 0 {
		return given
	}
	if end := j.sent[given.Echo].Add(ttl); ttl > 0 && end.After(j.expiry[entry]) {
		j.expiry[entry] = end
	}
	return given
}

// hear has the sidecar send a message that the entry receives.
func (j *judge) hear(entry model.Incarnation) {
	number := j.permits.RecordSend(entry, j.now)
	j.numbers[entry], j.sent[number] = number, j.now
}

func (j *judge) dispatch(t *rapid.T) {
	entry := rapid.SampledFrom(entries).Draw(t, "entry")
	event := Dispatch{
		Entry:      entry,
		Sidecar:    self,
		Ref:        j.ref(t),
		Deadline:   j.now.Add(time.Duration(rapid.SampledFrom([]int{0, 150, 2000}).Draw(t, "timeout")) * time.Millisecond),
		Repeatable: rapid.IntRange(0, 3).Draw(t, "repeatable") == 0,
	}
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
		event.Sidecar = "s.0"
		event.Permit = wire.Permit{Echo: j.numbers[entry], TTL: time.Hour, BundleVersion: j.highest}
	} else {
		event.Permit = j.grant(t, entry)
	}
	if rapid.Bool().Draw(t, "bounded") {
		event.QueueEnd = j.now.Add(100 * time.Millisecond)
	}
	event.ID = j.call(entry)
	j.repeat[event.ID] = event.Repeatable
	j.apply(t, event)
}

func (j *judge) stopped(ref model.TaskRef) {
	delete(j.running, ref)
	j.order = slices.DeleteFunc(j.order, func(one model.TaskRef) bool { return one == ref })
}

func (j *judge) end(t *rapid.T) {
	ref := j.ref(t)
	if len(j.order) > 0 {
		ref = rapid.SampledFrom(j.order).Draw(t, "running")
	}
	event := TaskEnded{Ref: ref, Outcome: EndOutcome(rapid.IntRange(0, 2).Draw(t, "outcome"))}
	event.Result.Body = make([]byte, rapid.IntRange(0, 48).Draw(t, "body"))
	if j.running[ref] {
		j.stopped(ref)
		if event.Outcome == EndNotRun {
			j.starts[ref]--
		}
	}
	j.apply(t, event)
	if j.gate.records.bytes > 64 || j.gate.records.bytes < 0 {
		t.Fatalf("%d bytes of results kept", j.gate.records.bytes)
	}
}

// ready keeps the slots at or above what runs, because a minion that shrinks
// below it is over its slots without any start.
func (j *judge) ready(t *rapid.T, drained bool) {
	j.slots = rapid.IntRange(max(1, len(j.running)), maxSlots).Draw(t, "slots")
	j.closed = drained
	j.apply(t, MinionReady{Slots: j.slots})
}

func (j *judge) step(t *rapid.T, drained *bool) {
	entry := rapid.SampledFrom(entries).Draw(t, "entry")
	switch rapid.IntRange(0, 19).Draw(t, "step") {
	case 0, 1, 2, 3, 4:
		j.dispatch(t)
	case 5, 6, 7, 8:
		j.end(t)
	case 9:
		j.hear(entry)
	case 10, 11:
		given := j.grant(t, entry)
		j.apply(t, PermitChanged{Entry: entry, Permit: given})
	case 12, 13:
		j.now = j.now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 200}).Draw(t, "ms")) * time.Millisecond)
		j.apply(t, Tick{})
	case 14:
		j.apply(t, Withdraw{Key: j.ref(t).Key, Indexes: []int{1}})
	case 15:
		j.bundle += int64(rapid.IntRange(0, 1).Draw(t, "bundle"))
		j.highest = max(j.highest, j.bundle)
		j.expiry[entry] = time.Time{}
		j.apply(t, Revoke{Entry: entry, BundleVersion: j.bundle})
	case 16:
		j.apply(t, Attach{ID: j.call(entry), Entry: entry, Ref: j.ref(t)})
	case 17:
		j.ready(t, *drained)
	case 18:
		j.closed = true
		j.apply(t, rapid.SampledFrom([]Event{MinionLost{}, MinionLeaving{}}).Draw(t, "gone"))
	case 19:
		if rapid.IntRange(0, 9).Draw(t, "drain") == 0 {
			*drained, j.closed = true, true
			j.apply(t, Drain{})
		}
	}
}

// TestGateInvariants checks under random interleavings that a task starts at
// most once, never without a live permit, never beyond the slots, and that
// every call gets exactly one end.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := newJudge()
		drained := false
		j.ready(t, false)
		for _, entry := range entries {
			j.hear(entry)
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			j.step(t, &drained)
		}
		j.closed = true
		j.apply(t, Drain{})
		for _, ref := range slices.Clone(j.order) {
			j.stopped(ref)
			j.apply(t, TaskEnded{Ref: ref, Outcome: EndDone})
		}
		if len(j.open) > 0 {
			t.Fatalf("calls without an end: %v", j.open)
		}
	})
}
