package startgate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/decision/permit"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// gateFixture is a Gate with a ready minion and one entry, whose permit lasts
// an hour.
type gateFixture struct {
	gate    *Gate
	permits *permit.Set
	now     time.Time
	lastID  uint64
}

func newGateFixture(settings Settings, slots int) *gateFixture {
	permits := permit.NewSet()
	settings.Self = self
	f := &gateFixture{gate: New(settings, permits, testStart), permits: permits, now: testStart}
	number := permits.RecordSend("e.1", testStart)
	f.gate.Apply(PermitChanged{Entry: "e.1", Permit: wire.Permit{Echo: number, TTL: time.Hour}}, testStart)
	f.gate.Apply(MinionReady{Slots: slots}, testStart)
	return f
}

func (f *gateFixture) ref(index int) model.TaskRef {
	return model.TaskRef{Key: keyAt(testStart, 1), Index: index}
}

func (f *gateFixture) dispatch(index int) []Action {
	f.lastID++
	return f.gate.Apply(Dispatch{ID: f.lastID, Entry: "e.1", Sidecar: self, Ref: f.ref(index), Deadline: f.now.Add(time.Minute)}, f.now)
}

func (f *gateFixture) endTask(index int, body string) []Action {
	return f.gate.Apply(TaskEnded{Ref: f.ref(index), Outcome: EndDone, Result: model.TaskResult{Status: 200, Body: []byte(body)}}, f.now)
}

func notStartedReasons(actions []Action) []wire.NotStartedReason {
	var list []wire.NotStartedReason
	for _, action := range actions {
		if end, ok := action.(End); ok && end.Status == wire.RunNotStarted {
			list = append(list, end.Reason)
		}
	}
	return list
}

func TestGateRejectsWorkItCannotAccept(t *testing.T) {
	f := newGateFixture(Settings{RecordLimit: 10}, 1)
	must.Len(t, 1, f.dispatch(0))
	must.Len(t, 0, f.dispatch(1))
	must.Eq(t, []wire.NotStartedReason{wire.ReasonQueueFull}, notStartedReasons(f.dispatch(2)))
	must.Eq(t, []wire.NotStartedReason{wire.ReasonNoMinion}, notStartedReasons(f.gate.Apply(MinionLost{}, f.now)))
	must.Eq(t, []wire.NotStartedReason{wire.ReasonNoMinion}, notStartedReasons(f.dispatch(3)))
	f.gate.Apply(Drain{}, f.now)
	must.Eq(t, []wire.NotStartedReason{wire.ReasonDraining}, notStartedReasons(f.dispatch(4)))
	f.gate.Apply(MinionReady{Slots: 8}, f.now)
	must.Eq(t, []wire.NotStartedReason{wire.ReasonDraining}, notStartedReasons(f.dispatch(5)))
}

func TestGateHandsBackAtQueueTimeoutAndDeadline(t *testing.T) {
	f := newGateFixture(Settings{RecordLimit: 10, QueueCapacity: 4}, 1)
	f.dispatch(0)
	f.gate.Apply(Dispatch{ID: 90, Entry: "e.1", Sidecar: self, Ref: f.ref(1), Deadline: f.now.Add(time.Minute), QueueDeadline: f.now.Add(time.Second)}, f.now)
	f.gate.Apply(Dispatch{ID: 91, Entry: "e.1", Sidecar: self, Ref: f.ref(2), Deadline: f.now.Add(2 * time.Second)}, f.now)
	next := f.gate.NextTick(f.now)
	must.Eq(t, f.now.Add(time.Second), next)
	must.Eq(t, []wire.NotStartedReason{wire.ReasonQueueTimeout}, notStartedReasons(f.gate.Apply(Tick{}, next)))
	next = f.gate.NextTick(next)
	must.Eq(t, []wire.NotStartedReason{wire.ReasonDeadline}, notStartedReasons(f.gate.Apply(Tick{}, next)))
	must.True(t, f.gate.NextTick(next).IsZero())
}

func TestGateBoundsStoredResultBytes(t *testing.T) {
	f := newGateFixture(Settings{RecordLimit: 10, ResultBytes: 8}, 4)
	for index, body := range []string{"12345", "678", "9"} {
		f.dispatch(index)
		f.endTask(index, body)
	}
	records := f.gate.Lookup(f.ref(0).Key)
	must.Len(t, 3, records)
	must.False(t, records[0].HasResult)
	must.Eq(t, wire.PhaseDone, records[0].Phase)
	must.Eq(t, "678", string(records[1].Result.Body))
	must.Eq(t, 4, f.gate.records.resultBytes)
}

func TestGateReportsWhenRecordsAreComplete(t *testing.T) {
	f := newGateFixture(Settings{RecordLimit: 2, ResultBytes: 8}, 4)
	must.Eq(t, testStart, f.gate.RecordsSince())
	for index := range 4 {
		f.now = testStart.Add(time.Duration(index+1) * time.Second)
		f.dispatch(index)
		f.endTask(index, "")
	}
	f.gate.Apply(Tick{}, f.now)
	must.Eq(t, 2, f.gate.Records())
	must.Eq(t, testStart.Add(2*time.Second), f.gate.RecordsSince())
	f.gate.Apply(Tick{}, f.now.Add(recordRetention))
	must.Eq(t, 0, f.gate.Records())
	must.Eq(t, testStart.Add(4*time.Second), f.gate.RecordsSince())
}

func TestGateKeepsRecordsOfRunningTasks(t *testing.T) {
	f := newGateFixture(Settings{RecordLimit: 1}, 4)
	f.dispatch(0)
	f.dispatch(1)
	f.gate.Apply(Tick{}, f.now.Add(2*recordRetention))
	must.Eq(t, 2, f.gate.Records())
}

func TestGateAttachWithoutARecord(t *testing.T) {
	f := newGateFixture(Settings{RecordLimit: 10}, 4)
	before := Attach{ID: 90, Entry: "e.1", Ref: model.TaskRef{Key: keyAt(testStart.Add(-time.Second), 7)}}
	must.Eq(t, []Action{End{ID: 90, Status: wire.RunUnknown}}, f.gate.Apply(before, f.now))
	after := Attach{ID: 91, Entry: "e.1", Ref: model.TaskRef{Key: keyAt(testStart.Add(time.Minute), 7)}}
	must.Eq(t, []Action{End{ID: 91, Status: wire.RunNotStarted}}, f.gate.Apply(after, f.now))
}

func TestGateWithdrawCountsStartedTasks(t *testing.T) {
	f := newGateFixture(Settings{RecordLimit: 10}, 1)
	f.dispatch(0)
	f.dispatch(1)
	out := f.gate.Apply(Withdraw{Key: f.ref(0).Key}, f.now)
	must.Eq(t, []wire.NotStartedReason{wire.ReasonWithdrawn}, notStartedReasons(out))
	want := WithdrawResult{Withdrawn: 1, Started: 1, Running: []model.TaskRef{f.ref(0)}}
	must.Eq(t, Action(want), out[1])
}

func TestGateChecksThePermitAtTheStart(t *testing.T) {
	f := newGateFixture(Settings{RecordLimit: 10}, 1)
	f.dispatch(0)
	f.gate.Apply(Dispatch{ID: 90, Entry: "e.1", Sidecar: self, Ref: f.ref(1), Deadline: f.now.Add(2 * time.Hour)}, f.now)
	f.now = f.now.Add(time.Hour)
	must.SliceEmpty(t, notStartedReasons(f.endTask(0, "")))
	must.Eq(t, 0, f.gate.Running())
	must.True(t, f.gate.HasQueued("e.1"))
	must.Eq(t, f.now.Add(permitWait), f.gate.NextTick(f.now))
	f.now = f.now.Add(permitWait)
	must.Eq(t, []wire.NotStartedReason{wire.ReasonNoPermit}, notStartedReasons(f.gate.Apply(Tick{}, f.now)))
	must.Eq(t, 0, f.gate.Running())
}

func TestGateStartsWhenThePermitIsRenewed(t *testing.T) {
	f := newGateFixture(Settings{RecordLimit: 10}, 2)
	f.now = f.now.Add(2 * time.Hour)
	waiting := Dispatch{ID: 90, Entry: "e.1", Sidecar: self, Ref: f.ref(1), Deadline: f.now.Add(time.Hour)}
	must.SliceEmpty(t, f.gate.Apply(waiting, f.now))
	number := f.permits.RecordSend("e.1", f.now)
	renewed := PermitChanged{Entry: "e.1", Permit: wire.Permit{Echo: number, TTL: time.Second, BundleVersion: 1}}
	out := f.gate.Apply(renewed, f.now)
	must.Len(t, 1, out)
	must.Eq(t, f.ref(1), out[0].(Start).Ref)
}

func TestGateHandsBackWhenThePermitIsRefused(t *testing.T) {
	f := newGateFixture(Settings{RecordLimit: 10}, 2)
	f.now = f.now.Add(2 * time.Hour)
	f.gate.Apply(Dispatch{ID: 90, Entry: "e.1", Sidecar: self, Ref: f.ref(1), Deadline: f.now.Add(time.Hour)}, f.now)
	number := f.permits.RecordSend("e.1", f.now)
	out := f.gate.Apply(PermitChanged{Entry: "e.1", Permit: wire.Permit{Echo: number}}, f.now)
	must.Eq(t, []wire.NotStartedReason{wire.ReasonNoPermit}, notStartedReasons(out))
}

func TestGateSkipsTasksWithoutPermit(t *testing.T) {
	f := newGateFixture(Settings{RecordLimit: 10}, 2)
	f.permits.RecordSend("f.1", f.now)
	f.gate.Apply(Dispatch{ID: 90, Entry: "f.1", Sidecar: self, Ref: f.ref(5), Deadline: f.now.Add(time.Hour)}, f.now)
	out := f.dispatch(0)
	must.Len(t, 1, out)
	must.Eq(t, f.ref(0), out[0].(Start).Ref)
}

func TestGateRejectsDuplicateOfQueuedTask(t *testing.T) {
	f := newGateFixture(Settings{RecordLimit: 10}, 1)
	f.dispatch(0)
	f.dispatch(1)
	must.Eq(t, []Action{End{ID: 3, Status: wire.RunDuplicate}}, f.dispatch(1))
	must.Eq(t, 1, f.gate.Queued())
}
