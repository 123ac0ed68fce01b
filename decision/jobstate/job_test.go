package jobstate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/figring/figring/model"
	"github.com/figring/figring/wire"
)

func TestFailures(t *testing.T) {
	sent := func(index int) Event { return Dispatched{Index: index, Attempt: 1, Sidecar: "s.1"} }
	cases := []struct {
		name    string
		events  []Event
		code    model.Code
		outcome model.Outcome
	}{
		{"claim failed", []Event{ClaimFailed{model.NewRefusal(model.CodeStoreUnavailable, 0, "out")}}, model.CodeStoreUnavailable, model.NotRun},
		{"cancel before claim", []Event{Cancel{}}, model.CodeCancelled, model.NotRun},
		{"cancel before dispatch", []Event{Claimed{}, Cancel{}}, model.CodeCancelled, model.NotRun},
		{"cancel after dispatch", []Event{Claimed{}, sent(0), Cancel{}}, model.CodeCancelled, model.Unknown},
		{"handed back by a restarted sidecar", []Event{Claimed{}, sent(0), HandedBack{Ref: ref(0), Attempt: 1, Reason: wire.ReasonWrongIncarnation}}, model.CodeTaskUnknown, model.Unknown},
		{"cancel after hand back", []Event{Claimed{}, sent(0), HandedBack{Ref: ref(0), Attempt: 1}, Cancel{}}, model.CodeCancelled, model.NotRun},
		{"deadline after one ran", []Event{Claimed{}, sent(0), sent(1), Done{ref(0), 1, result(0, 200)}, DeadlinePassed{}}, model.CodeDeadline, model.Run},
		{"deadline before dispatch", []Event{Claimed{}, DeadlinePassed{}}, model.CodeDeadline, model.NotRun},
		{"task failed", []Event{Claimed{}, sent(0), Done{ref(0), 1, result(0, 400)}}, model.CodeTaskFailed, model.Run},
		{"task unknown", []Event{Claimed{}, sent(0), Unknown{ref(0), 1}}, model.CodeTaskUnknown, model.Unknown},
		{"unknown after another ran", []Event{Claimed{}, sent(0), sent(1), Done{ref(1), 1, result(1, 200)}, Unknown{ref(0), 1}}, model.CodeTaskUnknown, model.Run},
		{"digest mismatch", []Event{Claimed{}, sent(0), Done{ref(0), 1, badResult(0)}}, model.CodeTaskUnknown, model.Unknown},
		{"result of another task", []Event{Claimed{}, sent(0), Done{ref(0), 1, result(1, 200)}}, model.CodeTaskUnknown, model.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			job := newJob(2)
			var actions []Action
			for _, event := range c.events {
				must.Nil(t, finishOf(actions))
				actions = job.Apply(event, testStart)
			}
			must.Eq(t, 2, len(actions))
			_, withdrawn := actions[0].(Withdraw)
			must.True(t, withdrawn)
			answer := finishOf(actions)
			must.NotNil(t, answer)
			must.Eq(t, model.Failed, answer.State)
			must.Eq(t, c.code, answer.Code)
			must.Eq(t, c.outcome, answer.Outcome)
			must.SliceEmpty(t, answer.Results)
			must.Nil(t, job.Apply(Cancel{}, testStart))
			must.Eq(t, 1, job.Stats().Late)
		})
	}
}

func TestStrayEventsAreIgnored(t *testing.T) {
	stray := []Event{
		Claimed{},
		ClaimFailed{},
		Adopted{},
		Dispatched{Index: 0, Attempt: 2},
		Dispatched{Index: 1, Attempt: 2},
		Dispatched{Index: 5, Attempt: 1},
		Dispatched{Index: -1, Attempt: 1},
		Done{model.TaskRef{Key: otherKey, Index: 0}, 1, result(0, 200)},
		Done{ref(7), 1, result(7, 200)},
		Done{ref(-1), 1, result(-1, 200)},
		Done{ref(0), 2, result(0, 200)},
		Done{ref(1), 1, result(1, 200)},
		HandedBack{Ref: ref(0), Attempt: 2},
		Unknown{ref(1), 0},
	}
	job := newJob(2)
	job.Apply(Claimed{}, testStart)
	job.Apply(Dispatched{Index: 0, Attempt: 1}, testStart)
	for i, event := range stray {
		must.Nil(t, job.Apply(event, testStart), must.Sprintf("event %d", i))
		must.Eq(t, i+1, job.Stats().Ignored, must.Sprintf("event %d", i))
	}
}

func TestHandedBackUntilMaxAttempts(t *testing.T) {
	job := newJob(1)
	job.Apply(Claimed{}, testStart)
	for attempt := 1; attempt < testAttempts; attempt++ {
		job.Apply(Dispatched{Index: 0, Attempt: attempt}, testStart)
		actions := job.Apply(HandedBack{Ref: ref(0), Attempt: attempt}, testStart)
		must.Eq(t, []Action{Dispatch{Indexes: []int{0}}}, actions)
	}
	job.Apply(Dispatched{Index: 0, Attempt: testAttempts}, testStart)
	answer := finishOf(job.Apply(HandedBack{Ref: ref(0), Attempt: testAttempts}, testStart))
	must.NotNil(t, answer)
	must.Eq(t, model.CodeNoCapacity, answer.Code)
	must.Eq(t, model.NotRun, answer.Outcome)
}

func TestHandedBackAfterDeadline(t *testing.T) {
	job := newJob(1)
	job.Apply(Claimed{}, testStart)
	job.Apply(Dispatched{Index: 0, Attempt: 1}, testStart)
	answer := finishOf(job.Apply(HandedBack{Ref: ref(0), Attempt: 1}, testDeadline))
	must.NotNil(t, answer)
	must.Eq(t, model.CodeDeadline, answer.Code)
	must.Eq(t, model.NotRun, answer.Outcome)
}

func TestAdopted(t *testing.T) {
	record := func(index int, phase wire.TaskPhase) AdoptedTask {
		known := wire.TaskRecord{Ref: ref(index), Phase: phase}
		if phase == wire.PhaseDone {
			known.HasResult, known.Result = true, result(index, 200)
		}
		return AdoptedTask{Sidecar: "s.1", Record: known}
	}
	withoutResult := record(0, wire.PhaseDone)
	withoutResult.Record.HasResult = false
	cases := []struct {
		name    string
		tasks   []AdoptedTask
		proved  bool
		actions []Action
		code    model.Code
		outcome model.Outcome
	}{
		{name: "no records, proved not started", proved: true, actions: []Action{Dispatch{Indexes: []int{0, 1}}}},
		{name: "no records, not proved", code: model.CodeTaskUnknown, outcome: model.Unknown},
		{name: "one record absent, not proved", tasks: []AdoptedTask{record(1, wire.PhaseDone)}, code: model.CodeTaskUnknown, outcome: model.Run},
		{name: "started and absent, proved not started", tasks: []AdoptedTask{record(0, wire.PhaseStarted)}, proved: true, actions: []Action{
			Attach{Tasks: []Placement{{Index: 0, Attempt: 1, Sidecar: "s.1"}}}, Dispatch{Indexes: []int{1}}}},
		{name: "queued and done", tasks: []AdoptedTask{record(0, wire.PhaseQueued), record(1, wire.PhaseDone)}, actions: []Action{
			Attach{Tasks: []Placement{{Index: 0, Attempt: 1, Sidecar: "s.1"}}}}},
		{name: "result no longer kept", tasks: []AdoptedTask{withoutResult, record(1, wire.PhaseDone)}, code: model.CodeTaskUnknown, outcome: model.Run},
		{name: "unknown", tasks: []AdoptedTask{record(0, wire.PhaseUnknown)}, proved: true, code: model.CodeTaskUnknown, outcome: model.Unknown},
		{name: "two records", tasks: []AdoptedTask{record(0, wire.PhaseDone), record(0, wire.PhaseQueued)}, proved: true, code: model.CodeTaskUnknown, outcome: model.Run},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			actions := newJob(2).Apply(Adopted{Tasks: c.tasks, AbsentNotStarted: c.proved}, testStart)
			if c.actions != nil {
				must.Eq(t, c.actions, actions)
				return
			}
			answer := finishOf(actions)
			must.NotNil(t, answer)
			must.Eq(t, c.code, answer.Code)
			must.Eq(t, c.outcome, answer.Outcome)
		})
	}
}

func TestAdoptedCompletes(t *testing.T) {
	job := newJob(2)
	tasks := []AdoptedTask{
		{Sidecar: "s.1", Record: wire.TaskRecord{Ref: ref(0), Phase: wire.PhaseDone, HasResult: true, Result: result(0, 200)}},
		{Sidecar: "s.2", Record: wire.TaskRecord{Ref: ref(1), Phase: wire.PhaseStarted}},
	}
	job.Apply(Adopted{Tasks: tasks}, testStart)
	answer := finishOf(job.Apply(Done{ref(1), 1, result(1, 200)}, testStart.Add(time.Second)))
	must.NotNil(t, answer)
	must.Eq(t, model.Complete, answer.State)
	must.Eq(t, []model.TaskResult{result(0, 200), result(1, 200)}, answer.Results)
}

func TestStartedTaskIsNeverDispatchedAgain(t *testing.T) {
	job := newJob(1)
	tasks := []AdoptedTask{{Sidecar: "s.1", Record: wire.TaskRecord{Ref: ref(0), Phase: wire.PhaseStarted}}}
	job.Apply(Adopted{Tasks: tasks}, testStart)
	answer := finishOf(job.Apply(HandedBack{Ref: ref(0), Attempt: 1}, testStart))
	must.NotNil(t, answer)
	must.Eq(t, model.Run, answer.Outcome)
}
