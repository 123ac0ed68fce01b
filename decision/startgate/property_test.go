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
	testStart = time.Unix(1_700_000_000, 0)
	entries   = []model.Incarnation{"e.1", "f.1"}
)

// keyAt returns a key with the given creation time and last byte.
func keyAt(at time.Time, last byte) model.JobKey {
	var id uuid.UUID
	millis := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, last
	return model.JobKey{Caller: "desk", ID: id}
}

// gateChecker applies random events to a Gate and checks every action against
// its own model: which tasks are running or were started, and which calls are
// open. It computes the latest expiry of each permit independently, from the
// times at which messages were sent.
type gateChecker struct {
	gate       *Gate
	permits    *permit.Set
	now        time.Time
	slots      int
	lastID     uint64
	openCalls  map[uint64]bool
	startCount map[model.TaskRef]int
	running    map[model.TaskRef]bool
	// runOrder lists the running tasks in the order of their starts.
	runOrder      []model.TaskRef
	repeatable    map[uint64]bool
	lastMessage   map[model.Incarnation]uint64
	sentAt        map[uint64]time.Time
	permitExpiry  map[model.Incarnation]time.Time
	callEntry     map[uint64]model.Incarnation
	bundle        int64
	highestBundle int64
	notAccepting  bool
}

func newGateChecker() *gateChecker {
	permits := permit.NewSet()
	settings := Settings{Self: self, RecordLimit: 1000, ResultBytes: 64}
	return &gateChecker{
		gate:         New(settings, permits, testStart),
		permits:      permits,
		now:          testStart,
		openCalls:    make(map[uint64]bool),
		startCount:   make(map[model.TaskRef]int),
		running:      make(map[model.TaskRef]bool),
		repeatable:   make(map[uint64]bool),
		lastMessage:  make(map[model.Incarnation]uint64),
		sentAt:       make(map[uint64]time.Time),
		permitExpiry: make(map[model.Incarnation]time.Time),
		callEntry:    make(map[uint64]model.Incarnation),
		bundle:       1,
	}
}

func (c *gateChecker) apply(t *rapid.T, event Event) {
	for _, emitted := range c.gate.Apply(event, c.now) {
		switch action := emitted.(type) {
		case Start:
			c.checkStart(t, action)
		case End:
			if !c.openCalls[action.ID] {
				t.Fatalf("call %d ended twice or was never made", action.ID)
			}
			delete(c.openCalls, action.ID)
		}
	}
	if len(c.running) != c.gate.Running() {
		t.Fatalf("gate reports %d running tasks, want %d", c.gate.Running(), len(c.running))
	}
}

func (c *gateChecker) checkStart(t *rapid.T, action Start) {
	if c.running[action.Ref] {
		t.Fatalf("%v is running twice at the same time", action.Ref)
	}
	if c.startCount[action.Ref] > 0 && !c.repeatable[action.ID] {
		t.Fatalf("%v is not repeatable but started again", action.Ref)
	}
	if !c.now.Before(c.permitExpiry[c.callEntry[action.ID]]) {
		t.Fatalf("%v started without a live permit", action.Ref)
	}
	if c.notAccepting {
		t.Fatalf("%v started while the gate accepts no tasks", action.Ref)
	}
	c.startCount[action.Ref]++
	c.running[action.Ref] = true
	c.runOrder = append(c.runOrder, action.Ref)
	if len(c.running) > c.slots {
		t.Fatalf("%d tasks are running on %d slots", len(c.running), c.slots)
	}
}

func (c *gateChecker) openCall(owner model.Incarnation) uint64 {
	c.lastID++
	c.openCalls[c.lastID] = true
	c.callEntry[c.lastID] = owner
	return c.lastID
}

func (c *gateChecker) drawRef(t *rapid.T) model.TaskRef {
	key := keyAt(testStart.Add(time.Hour), byte(rapid.IntRange(0, 1).Draw(t, "key")))
	return model.TaskRef{Key: key, Index: rapid.IntRange(0, 2).Draw(t, "index")}
}

// drawPermit draws a permit from the entry and updates the latest time at which
// the entry's permit may expire.
func (c *gateChecker) drawPermit(t *rapid.T, entry model.Incarnation) wire.Permit {
	ttl := time.Duration(rapid.SampledFrom([]int{0, 100, 1000}).Draw(t, "ttl")) * time.Millisecond
	granted := wire.Permit{Echo: c.lastMessage[entry], TTL: ttl, BundleVersion: c.bundle}
	if rapid.IntRange(0, 4).Draw(t, "old bundle") == 0 {
		granted.BundleVersion--
	}
	if granted.BundleVersion < c.highestBundle {
		return granted
	}
	c.highestBundle = granted.BundleVersion
	if granted.Echo == 0 {
		return granted
	}
	if end := c.sentAt[granted.Echo].Add(ttl); ttl > 0 && end.After(c.permitExpiry[entry]) {
		c.permitExpiry[entry] = end
	}
	return granted
}

// sendMessage records a message from the sidecar to the entry. The entry's
// permits echo the number of the last one.
func (c *gateChecker) sendMessage(entry model.Incarnation) {
	number := c.permits.RecordSend(entry, c.now)
	c.lastMessage[entry], c.sentAt[number] = number, c.now
}

func (c *gateChecker) dispatch(t *rapid.T) {
	entry := rapid.SampledFrom(entries).Draw(t, "entry")
	event := Dispatch{
		Entry:      entry,
		Sidecar:    self,
		Ref:        c.drawRef(t),
		Deadline:   c.now.Add(time.Duration(rapid.SampledFrom([]int{0, 150, 2000}).Draw(t, "timeout")) * time.Millisecond),
		Repeatable: rapid.IntRange(0, 3).Draw(t, "repeatable") == 0,
	}
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
		event.Sidecar = "s.0"
		event.Permit = wire.Permit{Echo: c.lastMessage[entry], TTL: time.Hour, BundleVersion: c.highestBundle}
	} else {
		event.Permit = c.drawPermit(t, entry)
	}
	if rapid.Bool().Draw(t, "bounded") {
		event.QueueDeadline = c.now.Add(100 * time.Millisecond)
	}
	event.ID = c.openCall(entry)
	c.repeatable[event.ID] = event.Repeatable
	c.apply(t, event)
}

func (c *gateChecker) removeRunning(ref model.TaskRef) {
	delete(c.running, ref)
	c.runOrder = slices.DeleteFunc(c.runOrder, func(other model.TaskRef) bool { return other == ref })
}

func (c *gateChecker) endTask(t *rapid.T) {
	ref := c.drawRef(t)
	if len(c.runOrder) > 0 {
		ref = rapid.SampledFrom(c.runOrder).Draw(t, "running")
	}
	event := TaskEnded{Ref: ref, Outcome: EndOutcome(rapid.IntRange(0, 2).Draw(t, "outcome"))}
	event.Result.Body = make([]byte, rapid.IntRange(0, 48).Draw(t, "body"))
	if c.running[ref] {
		c.removeRunning(ref)
		if event.Outcome == EndNotRun {
			c.startCount[ref]--
		}
	}
	c.apply(t, event)
	if c.gate.records.resultBytes > 64 || c.gate.records.resultBytes < 0 {
		t.Fatalf("%d bytes of results are stored", c.gate.records.resultBytes)
	}
}

// minionReady announces at least as many slots as tasks are running. With fewer
// slots, too many tasks would be running although none was started beyond the
// slots.
func (c *gateChecker) minionReady(t *rapid.T, drained bool) {
	c.slots = rapid.IntRange(max(1, len(c.running)), maxSlots).Draw(t, "slots")
	c.notAccepting = drained
	c.apply(t, MinionReady{Slots: c.slots})
}

func (c *gateChecker) step(t *rapid.T, drained *bool) {
	entry := rapid.SampledFrom(entries).Draw(t, "entry")
	switch rapid.IntRange(0, 19).Draw(t, "step") {
	case 0, 1, 2, 3, 4:
		c.dispatch(t)
	case 5, 6, 7, 8:
		c.endTask(t)
	case 9:
		c.sendMessage(entry)
	case 10, 11:
		granted := c.drawPermit(t, entry)
		c.apply(t, PermitChanged{Entry: entry, Permit: granted})
	case 12, 13:
		c.now = c.now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 200}).Draw(t, "ms")) * time.Millisecond)
		c.apply(t, Tick{})
	case 14:
		c.apply(t, Withdraw{Key: c.drawRef(t).Key, Indexes: []int{1}})
	case 15:
		c.bundle += int64(rapid.IntRange(0, 1).Draw(t, "bundle"))
		c.highestBundle = max(c.highestBundle, c.bundle)
		c.permitExpiry[entry] = time.Time{}
		c.apply(t, Revoke{Entry: entry, BundleVersion: c.bundle})
	case 16:
		c.apply(t, Attach{ID: c.openCall(entry), Entry: entry, Ref: c.drawRef(t)})
	case 17:
		c.minionReady(t, *drained)
	case 18:
		c.notAccepting = true
		c.apply(t, rapid.SampledFrom([]Event{MinionLost{}, MinionLeaving{}}).Draw(t, "gone"))
	case 19:
		if rapid.IntRange(0, 9).Draw(t, "drain") == 0 {
			*drained, c.notAccepting = true, true
			c.apply(t, Drain{})
		}
	}
}

// TestGateInvariants checks with random events that a task starts at most once
// unless it is repeatable, never without a live permit and never when all slots
// are in use, and that every call ends exactly once.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newGateChecker()
		drained := false
		c.minionReady(t, false)
		for _, entry := range entries {
			c.sendMessage(entry)
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			c.step(t, &drained)
		}
		c.notAccepting = true
		c.apply(t, Drain{})
		for _, ref := range slices.Clone(c.runOrder) {
			c.removeRunning(ref)
			c.apply(t, TaskEnded{Ref: ref, Outcome: EndDone})
		}
		if len(c.openCalls) > 0 {
			t.Fatalf("calls that did not end: %v", c.openCalls)
		}
	})
}
