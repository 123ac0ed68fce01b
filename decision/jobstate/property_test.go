package jobstate

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/figring/figring/model"
)

// simulation records what really happened to a job's tasks, to check the job's
// actions against it.
type simulation struct {
	job *Job
	// dispatchRequested is set for tasks with a Dispatch that was not used yet.
	dispatchRequested []bool
	started           []bool
	succeeded         []bool
	// inProgress holds the dispatches that may have started their tasks and have
	// returned no valid result.
	inProgress map[int]Dispatched
	// applied are all earlier events, from which replayed ones are drawn.
	applied []Event
	answer  *model.Answer
}

func newSimulation(tasks int) *simulation {
	return &simulation{
		job:               newJob(tasks),
		dispatchRequested: make([]bool, tasks),
		started:           make([]bool, tasks),
		succeeded:         make([]bool, tasks),
		inProgress:        make(map[int]Dispatched),
	}
}

// apply applies an event to the job and checks the actions that it returns.
func (s *simulation) apply(t *rapid.T, event Event) {
	s.applied = append(s.applied, event)
	for _, action := range s.job.Apply(event, testStart) {
		switch a := action.(type) {
		case Dispatch:
			s.checkDispatch(t, a)
		case Finish:
			s.checkFinish(t, a.Answer)
		}
	}
}

func (s *simulation) checkDispatch(t *rapid.T, dispatch Dispatch) {
	if s.answer != nil {
		t.Fatalf("dispatch after the Finish")
	}
	for _, index := range dispatch.Indexes {
		if _, open := s.inProgress[index]; open || s.started[index] {
			t.Fatalf("dispatch of task %d, which may have been started", index)
		}
		s.dispatchRequested[index] = true
	}
}

func (s *simulation) checkFinish(t *rapid.T, answer model.Answer) {
	if s.answer != nil {
		t.Fatalf("second Finish")
	}
	s.answer = &answer
	anyStarted := false
	allSucceeded := true
	for i := range s.started {
		anyStarted = anyStarted || s.started[i]
		allSucceeded = allSucceeded && s.succeeded[i]
	}
	if (answer.State == model.Complete) != allSucceeded {
		t.Fatalf("state %s, all tasks succeeded: %v", answer.State, allSucceeded)
	}
	if answer.Outcome == model.NotRun && (anyStarted || len(s.inProgress) > 0) {
		t.Fatalf("outcome not_run although a task may have been started")
	}
	if answer.Outcome == model.Run && !anyStarted {
		t.Fatalf("outcome run although no task was started")
	}
	s.checkResults(t, answer)
}

func (s *simulation) checkResults(t *rapid.T, answer model.Answer) {
	want := 0
	if answer.State == model.Complete {
		want = len(s.started)
	}
	if len(answer.Results) != want {
		t.Fatalf("state %s with %d results", answer.State, len(answer.Results))
	}
	for i, one := range answer.Results {
		if one.Index != i || one.Body[0] != byte(i) {
			t.Fatalf("result %d at position %d", one.Index, i)
		}
	}
}

// dispatch dispatches a task if the job allows it.
func (s *simulation) dispatch(t *rapid.T, index int) {
	attempt, ok := s.job.Attempt(index)
	if !ok {
		return
	}
	if !s.dispatchRequested[index] {
		t.Fatalf("Attempt allows task %d without a Dispatch", index)
	}
	s.dispatchRequested[index] = false
	dispatch := Dispatched{Index: index, Attempt: attempt}
	s.inProgress[index] = dispatch
	s.apply(t, dispatch)
}

// endDispatch ends the dispatch in progress of a task in the given way.
func (s *simulation) endDispatch(t *rapid.T, index int, ending string) {
	dispatch, ok := s.inProgress[index]
	if !ok {
		return
	}
	if ending != "back" {
		s.started[index] = ending != "unknown" || rapid.Bool().Draw(t, "started")
	}
	switch ending {
	case "back":
		delete(s.inProgress, index)
		s.apply(t, HandedBack{Ref: ref(index), Attempt: dispatch.Attempt})
	case "done":
		delete(s.inProgress, index)
		s.succeeded[index] = true
		s.apply(t, Done{ref(index), dispatch.Attempt, result(index, 200)})
	case "failed":
		delete(s.inProgress, index)
		s.apply(t, Done{ref(index), dispatch.Attempt, result(index, 500)})
	case "mismatch":
		s.apply(t, Done{ref(index), dispatch.Attempt, badResult(index)})
	case "unknown":
		s.apply(t, Unknown{ref(index), dispatch.Attempt})
	}
}

// TestInvariantsInRandomEventOrders checks the invariants of the package in random
// orders of events, with replayed events and with results for another job.
func TestInvariantsInRandomEventOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tasks := rapid.IntRange(1, 5).Draw(t, "tasks")
		s := newSimulation(tasks)
		s.apply(t, Claimed{})
		endings := []string{"done", "done", "done", "done", "back", "back", "failed", "mismatch", "unknown"}
		s.runSteps(t, tasks, endings)
		for i := range tasks {
			s.endDispatch(t, i, "done")
		}
		s.apply(t, DeadlinePassed{})
		if s.answer == nil {
			t.Fatalf("no Finish")
		}
	})
}

// runSteps applies random events. Endings are the ways in which a dispatch may end.
func (s *simulation) runSteps(t *rapid.T, tasks int, endings []string) {
	for range rapid.IntRange(0, 60).Draw(t, "steps") {
		index := rapid.IntRange(0, tasks-1).Draw(t, "index")
		switch rapid.IntRange(0, 60).Draw(t, "step") {
		case 0:
			s.apply(t, Cancel{})
		case 1, 2, 3, 4, 5:
			s.apply(t, rapid.SampledFrom(s.applied).Draw(t, "replay"))
		case 6:
			foreign := model.TaskRef{Key: otherKey, Index: index}
			s.apply(t, Done{foreign, 1, result(index, 200)})
		default:
			if _, open := s.inProgress[index]; open {
				s.endDispatch(t, index, rapid.SampledFrom(endings).Draw(t, "way"))
			} else {
				s.dispatch(t, index)
			}
		}
	}
}
