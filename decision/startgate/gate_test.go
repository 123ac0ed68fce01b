package startgate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/decision/permit"
	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

// bench is a gate with one entry whose permits last an hour.
type bench struct {
	gate    *Gate
	permits *permit.Set
	now     time.Time
	last    uint64
}

func newBench(settings Settings, slots int) *bench {
	permits := permit.NewSet()
	settings.Self = self
	b := &bench{gate: New(settings, permits, origin), permits: permits, now: origin}
	number := permits.RecordSend("e.1", origin)
	b.gate.Apply(PermitChanged{Entry: "e.1", Permit: wire.Permit{Echo: number, TTL: time.Hour}}, origin)
	b.gate.Apply(MinionReady{Slots: slots}, origin)
	return b
}

func (b *bench) ref(index int) model.TaskRef {
	return model.TaskRef{Key: keyAt(origin, 1), Index: index}
}

func (b *bench) dispatch(index int) []Action {
	b.last++
	return b.gate.Apply(Dispatch{ID: b.last, Entry: "e.1", Sidecar: self, Ref: b.ref(index), Deadline: b.now.Add(time.Minute)}, b.now)
}

func (b *bench) done(index int, body string) []Action {
	return b.gate.Apply(TaskEnded{Ref: b.ref(index), Outcome: EndDone, Result: model.TaskResult{Status: 200, Body: []byte(body)}}, b.now)
}

func reasons(actions []Action) []wire.NotStartedReason {
	var list []wire.NotStartedReason
	for _, one := range actions {
		if end, ok := one.(End); ok && end.Status == wire.RunNotStarted {
			list = append(list, end.Reason)
		}
	}
	return list
}

func TestGateHandsBackWhatItCannotTake(t *testing.T) {
	b := newBench(Settings{RecordLimit: 10}, 1)
	must.Len(t, 1, b.dispatch(0))
	must.Len(t, 0, b.dispatch(1))
	must.Eq(t, []wire.NotStartedReason{wire.ReasonQueueFull}, reasons(b.dispatch(2)))
	must.Eq(t, []wire.NotStartedReason{wire.ReasonNoMinion}, reasons(b.gate.Apply(MinionLost{}, b.now)))
	must.Eq(t, []wire.NotStartedReason{wire.ReasonNoMinion}, reasons(b.dispatch(3)))
	b.gate.Apply(Drain{}, b.now)
	must.Eq(t, []wire.NotStartedReason{wire.ReasonDraining}, reasons(b.dispatch(4)))
	b.gate.Apply(MinionReady{Slots: 8}, b.now)
	must.Eq(t, []wire.NotStartedReason{wire.ReasonDraining}, reasons(b.dispatch(5)))
}

func TestGateEndsTheWaitForASlot(t *testing.T) {
	b := newBench(Settings{RecordLimit: 10, QueueCapacity: 4}, 1)
	b.dispatch(0)
	b.gate.Apply(Dispatch{ID: 90, Entry: "e.1", Sidecar: self, Ref: b.ref(1), Deadline: b.now.Add(time.Minute), QueueEnd: b.now.Add(time.Second)}, b.now)
	b.gate.Apply(Dispatch{ID: 91, Entry: "e.1", Sidecar: self, Ref: b.ref(2), Deadline: b.now.Add(2 * time.Second)}, b.now)
	next := b.gate.NextTick(b.now)
	must.Eq(t, b.now.Add(time.Second), next)
	must.Eq(t, []wire.NotStartedReason{wire.ReasonQueueTimeout}, reasons(b.gate.Apply(Tick{}, next)))
	next = b.gate.NextTick(next)
	must.Eq(t, []wire.NotStartedReason{wire.ReasonDeadline}, reasons(b.gate.Apply(Tick{}, next)))
	must.True(t, b.gate.NextTick(next).IsZero())
}

func TestGateKeepsResultsWithinTheirBytes(t *testing.T) {
	b := newBench(Settings{RecordLimit: 10, ResultBytes: 8}, 4)
	for index, body := range []string{"12345", "678", "9"} {
		b.dispatch(index)
		b.done(index, body)
	}
	records := b.gate.Lookup(b.ref(0).Key)
	must.Len(t, 3, records)
	must.False(t, records[0].HasResult)
	must.Eq(t, wire.PhaseDone, records[0].Phase)
	must.Eq(t, "678", string(records[1].Result.Body))
	must.Eq(t, 4, b.gate.records.bytes)
}

func TestGateSaysSinceWhenItsRecordsAreWhole(t *testing.T) {
	b := newBench(Settings{RecordLimit: 2, ResultBytes: 8}, 4)
	must.Eq(t, origin, b.gate.RecordsSince())
	for index := range 4 {
		b.now = origin.Add(time.Duration(index+1) * time.Second)
		b.dispatch(index)
		b.done(index, "")
	}
	b.gate.Apply(Tick{}, b.now)
	must.Eq(t, 2, b.gate.Records())
	must.Eq(t, origin.Add(2*time.Second), b.gate.RecordsSince())
	b.gate.Apply(Tick{}, b.now.Add(keepFor))
	must.Eq(t, 0, b.gate.Records())
	must.Eq(t, origin.Add(4*time.Second), b.gate.RecordsSince())
}

func TestGateKeepsTheRecordOfWhatRuns(t *testing.T) {
	b := newBench(Settings{RecordLimit: 1}, 4)
	b.dispatch(0)
	b.dispatch(1)
	b.gate.Apply(Tick{}, b.now.Add(2*keepFor))
	must.Eq(t, 2, b.gate.Records())
}

func TestGateAttachWithoutARecord(t *testing.T) {
	b := newBench(Settings{RecordLimit: 10}, 4)
	before := Attach{ID: 90, Entry: "e.1", Ref: model.TaskRef{Key: keyAt(origin.Add(-time.Second), 7)}}
	must.Eq(t, []Action{End{ID: 90, Status: wire.RunUnknown}}, b.gate.Apply(before, b.now))
	after := Attach{ID: 91, Entry: "e.1", Ref: model.TaskRef{Key: keyAt(origin.Add(time.Minute), 7)}}
	must.Eq(t, []Action{End{ID: 91, Status: wire.RunNotStarted}}, b.gate.Apply(after, b.now))
}

func TestGateWithdrawCountsWhatStarted(t *testing.T) {
	b := newBench(Settings{RecordLimit: 10}, 1)
	b.dispatch(0)
	b.dispatch(1)
	out := b.gate.Apply(Withdraw{Key: b.ref(0).Key}, b.now)
	must.Eq(t, []wire.NotStartedReason{wire.ReasonWithdrawn}, reasons(out))
	want := Withdrawn{Withdrawn: 1, Started: 1, Running: []model.TaskRef{b.ref(0)}}
	must.Eq(t, Action(want), out[1])
}

func TestGateChecksThePermitAtTheStart(t *testing.T) {
	b := newBench(Settings{RecordLimit: 10}, 1)
	b.dispatch(0)
	b.gate.Apply(Dispatch{ID: 90, Entry: "e.1", Sidecar: self, Ref: b.ref(1), Deadline: b.now.Add(2 * time.Hour)}, b.now)
	b.now = b.now.Add(time.Hour)
	must.SliceEmpty(t, reasons(b.done(0, "")))
	must.Eq(t, 0, b.gate.Running())
	must.True(t, b.gate.Wants("e.1"))
	must.Eq(t, b.now.Add(permitWait), b.gate.NextTick(b.now))
	b.now = b.now.Add(permitWait)
	must.Eq(t, []wire.NotStartedReason{wire.ReasonNoPermit}, reasons(b.gate.Apply(Tick{}, b.now)))
	must.Eq(t, 0, b.gate.Running())
}

func TestGateStartsWhenThePermitIsRenewed(t *testing.T) {
	b := newBench(Settings{RecordLimit: 10}, 2)
	b.now = b.now.Add(2 * time.Hour)
	waiting := Dispatch{ID: 90, Entry: "e.1", Sidecar: self, Ref: b.ref(1), Deadline: b.now.Add(time.Hour)}
	must.SliceEmpty(t, b.gate.Apply(waiting, b.now))
	number := b.permits.RecordSend("e.1", b.now)
	renewed := PermitChanged{Entry: "e.1", Permit: wire.Permit{Echo: number, TTL: time.Second, BundleVersion: 1}}
	out := b.gate.Apply(renewed, b.now)
	must.Len(t, 1, out)
	must.Eq(t, b.ref(1), out[0].(Start).Ref)
}

func TestGateHandsBackWhenThePermitIsRefused(t *testing.T) {
	b := newBench(Settings{RecordLimit: 10}, 2)
	b.now = b.now.Add(2 * time.Hour)
	b.gate.Apply(Dispatch{ID: 90, Entry: "e.1", Sidecar: self, Ref: b.ref(1), Deadline: b.now.Add(time.Hour)}, b.now)
	number := b.permits.RecordSend("e.1", b.now)
	out := b.gate.Apply(PermitChanged{Entry: "e.1", Permit: wire.Permit{Echo: number}}, b.now)
	must.Eq(t, []wire.NotStartedReason{wire.ReasonNoPermit}, reasons(out))
}

func TestGatePassesOverTasksWithoutAPermit(t *testing.T) {
	b := newBench(Settings{RecordLimit: 10}, 2)
	b.permits.RecordSend("f.1", b.now)
	b.gate.Apply(Dispatch{ID: 90, Entry: "f.1", Sidecar: self, Ref: b.ref(5), Deadline: b.now.Add(time.Hour)}, b.now)
	out := b.dispatch(0)
	must.Len(t, 1, out)
	must.Eq(t, b.ref(0), out[0].(Start).Ref)
}

func TestGateTakesAQueuedTaskOnce(t *testing.T) {
	b := newBench(Settings{RecordLimit: 10}, 1)
	b.dispatch(0)
	b.dispatch(1)
	must.Eq(t, []Action{End{ID: 3, Status: wire.RunDuplicate}}, b.dispatch(1))
	must.Eq(t, 1, b.gate.Queued())
}
