package jobstate

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/figring/figring/model"
)

// world is the truth about a job's tasks, which the job itself can't see.
type world struct {
	job     *Job
	allowed []bool
	started []bool
	ended   []bool
	open    map[int]Dispatched
	past    []Event
	finish  *model.Answer
}

func newWorld(tasks int) *world {
	return &world{
		job:     newJob(tasks),
		allowed: make([]bool, tasks),
		started: make([]bool, tasks),
		ended:   make([]bool, tasks),
		open:    make(map[int]Dispatched),
	}
}

// apply feeds an event and checks the actions against the truth.
func (w *world) apply(t *rapid.T, event Event) {
	w.past = append(w.past, event)
	for _, action := range w.job.Apply(event, testStart) {
		switch a := action.(type) {
		case Dispatch:
			w.checkDispatch(t, a)
		case Finish:
			w.checkFinish(t, a.Answer)
		}
	}
}

func (w *world) checkDispatch(t *rapid.T, dispatch Dispatch) {
	if w.finish != nil {
		t.Fatalf("dispatch after the end")
	}
	for _, index := range dispatch.Indexes {
		if _, open := w.open[index]; open || w.started[index] {
			t.Fatalf("dispatch of task %d, which may have been started", index)
		}
		w.allowed[index] = true
	}
}

func (w *world) checkFinish(t *rapid.T, answer model.Answer) {
	if w.finish != nil {
		t.Fatalf("second Finish")
	}
	w.finish = &answer
	anyStarted := false
	allEnded := true
	for i := range w.started {
		anyStarted = anyStarted || w.started[i]
		allEnded = allEnded && w.ended[i]
	}
	if (answer.State == model.Complete) != allEnded {
		t.Fatalf("state %s, all tasks ended well: %v", answer.State, allEnded)
	}
	if answer.Outcome == model.NotRun && (anyStarted || len(w.open) > 0) {
		t.Fatalf("not_run though a task may have been started")
	}
	if answer.Outcome == model.Run && !anyStarted {
		t.Fatalf("run though no task was started")
	}
	w.checkResults(t, answer)
}

func (w *world) checkResults(t *rapid.T, answer model.Answer) {
	want := 0
	if answer.State == model.Complete {
		want = len(w.started)
	}
	if len(answer.Results) != want {
		t.Fatalf("%s with %d results", answer.State, len(answer.Results))
	}
	for i, one := range answer.Results {
		if one.Index != i || one.Body[0] != byte(i) {
			t.Fatalf("result %d at position %d", one.Index, i)
		}
	}
}

// send dispatches a task if the job lets it.
func (w *world) send(t *rapid.T, index int) {
	attempt, ok := w.job.Attempt(index)
	if !ok {
		return
	}
	if !w.allowed[index] {
		t.Fatalf("Attempt lets task %d go without a Dispatch", index)
	}
	w.allowed[index] = false
	dispatch := Dispatched{Index: index, Attempt: attempt}
	w.open[index] = dispatch
	w.apply(t, dispatch)
}

// end closes an open dispatch in one of the ways in which it can end.
func (w *world) end(t *rapid.T, index int, way string) {
	dispatch, ok := w.open[index]
	if !ok {
		return
	}
	if way != "back" {
		w.started[index] = way != "unknown" || rapid.Bool().Draw(t, "started")
	}
	switch way {
	case "back":
		delete(w.open, index)
		w.apply(t, HandedBack{Ref: ref(index), Attempt: dispatch.Attempt})
	case "done":
		delete(w.open, index)
		w.ended[index] = true
		w.apply(t, Done{ref(index), dispatch.Attempt, result(index, 200)})
	case "failed":
		delete(w.open, index)
		w.apply(t, Done{ref(index), dispatch.Attempt, result(index, 500)})
	case "mismatch":
		w.apply(t, Done{ref(index), dispatch.Attempt, badResult(index)})
	case "unknown":
		w.apply(t, Unknown{ref(index), dispatch.Attempt})
	}
}

// TestRandomOrders checks the package's invariants over random event orders
// with replayed and crossed messages.
func TestRandomOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tasks := rapid.IntRange(1, 5).Draw(t, "tasks")
		w := newWorld(tasks)
		w.apply(t, Claimed{})
		ways := []string{"done", "done", "done", "done", "back", "back", "failed", "mismatch", "unknown"}
		w.run(t, tasks, ways)
		for i := range tasks {
			w.end(t, i, "done")
		}
		w.apply(t, DeadlinePassed{})
		if w.finish == nil {
			t.Fatalf("no Finish")
		}
	})
}

func (w *world) run(t *rapid.T, tasks int, ways []string) {
	for range rapid.IntRange(0, 60).Draw(t, "steps") {
		index := rapid.IntRange(0, tasks-1).Draw(t, "index")
		switch rapid.IntRange(0, 60).Draw(t, "step") {
		case 0:
			w.apply(t, Cancel{})
		case 1, 2, 3, 4, 5:
			w.apply(t, rapid.SampledFrom(w.past).Draw(t, "replay"))
		case 6:
			crossed := model.TaskRef{Key: otherKey, Index: index}
			w.apply(t, Done{crossed, 1, result(index, 200)})
		default:
			if _, open := w.open[index]; open {
				w.end(t, index, rapid.SampledFrom(ways).Draw(t, "way"))
			} else {
				w.send(t, index)
			}
		}
	}
}
